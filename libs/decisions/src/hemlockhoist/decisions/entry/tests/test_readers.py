import unittest

from hemlockhoist.decisions.entry import (
    ReaderTable,
    TableCopy,
    find_readers,
    reader_for,
)
from hemlockhoist.decisions.entry.copies import LARGE_VALUE_BYTES
from hemlockhoist.messages import Member
from hemlockhoist.store import Reading, StoreRow


def member(number, domain, millicores=500):
    return Member(
        address=f"10.0.{domain}.{number}:1",
        incarnation=f"r{number}",
        failure_domain=f"d{domain}",
        processor_millicores=millicores,
    )


def fleet(size, domains=4):
    return [member(number, number % domains) for number in range(size)]


class ReaderTests(unittest.TestCase):
    def test_every_host_of_a_small_fleet_reads_the_store(self):
        members = fleet(8)
        self.assertEqual(find_readers(members), {})
        self.assertIsNone(reader_for(members, members[0]))

    def test_large_fleet_has_one_reader_in_each_domain(self):
        members = fleet(60)
        readers = find_readers(members)
        self.assertEqual(sorted(readers), ["d0", "d1", "d2", "d3"])
        for own in members:
            reader = reader_for(members, own)
            if own in readers.values():
                self.assertIsNone(reader)
            else:
                self.assertEqual(reader.failure_domain, own.failure_domain)

    def test_domain_of_low_capacity_hosts_uses_the_reader_of_another(self):
        low_capacity = [member(number, 0, 500) for number in range(20)]
        high_capacity = [member(number, 1, 2_000) for number in range(3)]
        reader = reader_for([*low_capacity, *high_capacity], low_capacity[0])
        self.assertEqual(reader.failure_domain, "d1")

    def test_reader_of_another_domain_is_used_while_the_local_one_fails(self):
        """Guards against all hosts of a domain reading the store themselves."""
        members = fleet(60)
        readers = find_readers(members)
        own = next(m for m in members if m not in readers.values())
        local_reader = reader_for(members, own)
        other = reader_for(members, own, {local_reader.address})
        self.assertIn(other, readers.values())
        self.assertNotEqual(other, local_reader)
        failed = {member.address for member in readers.values()}
        self.assertIsNone(reader_for(members, own, failed))

    def test_hosts_of_a_domain_take_over_one_after_the_other(self):
        """Guards against all hosts that read whole tables as their readers fail."""
        members = fleet(60)
        readers = find_readers(members)
        for domain, reader in readers.items():
            local = [item for item in members if item.failure_domain == domain]
            ranks = {
                item.address: ReaderTable(members, item).takeover_rank()
                for item in local
            }
            self.assertEqual(sorted(ranks.values()), list(range(len(local))))
            self.assertEqual(ranks[reader.address], 0)
            avoid = {reader.address}
            ranks = [ReaderTable(members, item).takeover_rank(avoid) for item in local]
            self.assertEqual(sorted(ranks)[:3], [0, 1, 2])

    def test_deputy_reads_for_a_domain_whose_readers_have_failed(self):
        """Guards against changes that all hosts read from the store, whole."""
        members = fleet(60)
        readers = find_readers(members)
        avoid = {member.address for member in readers.values()}
        for domain, reader in readers.items():
            local = [item for item in members if item.failure_domain == domain]
            local.remove(reader)
            found = {ReaderTable(members, item).deputy(avoid) for item in local}
            (deputy,) = found - {None}
            self.assertIsNone(ReaderTable(members, deputy).deputy(avoid))

    def test_store_is_read_where_deputies_have_failed_too(self):
        members = fleet(60)
        local = [item for item in members if item.failure_domain == "d0"]
        avoid = {member.address for member in find_readers(members).values()}
        for _ in range(2):
            deputy = ReaderTable(members, local[0]).deputy(avoid)
            avoid.add(deputy.address if deputy else local[0].address)
        self.assertEqual(
            {ReaderTable(members, item).deputy(avoid) for item in local}, {None}
        )

    def test_small_fleet_has_no_deputy(self):
        members = fleet(8)
        self.assertIsNone(ReaderTable(members, members[0]).deputy({members[1].address}))

    def test_hosts_of_high_capacity_take_over_first(self):
        members = [*fleet(40), *(member(100 + n, n % 4, 2_000) for n in range(8))]
        ranks = [ReaderTable(members, item).takeover_rank() for item in members]
        self.assertEqual(sorted(ranks[40:]), [0, 0, 0, 0, 1, 1, 1, 1])

    def test_another_host_becomes_reader_when_the_reader_is_gone(self):
        members = fleet(60)
        previous = find_readers(members)["d0"]
        members.remove(previous)
        self.assertNotEqual(find_readers(members)["d0"], previous)


class TableCopyTests(unittest.TestCase):
    def reading(self, version, **rows):
        found = tuple(
            StoreRow(key=key, value=value, version=version)
            for key, value in rows.items()
        )
        return Reading(rows=found, version=version, store_ms=version, sent_ms=0)

    def test_follower_behind_the_known_deletions_must_read_all_rows(self):
        """Guards against using a deleted upstream forever.

        The reader started after the deletion; with only the changes that the reader
        knows, the follower would keep the row forever.
        """
        copy = TableCopy()
        copy.replace(self.reading(10, a=b"1"))
        self.assertIsNone(copy.changes(9))
        self.assertEqual(copy.changes(10), ())

    def test_deleted_rows_are_reported(self):
        copy = TableCopy()
        copy.replace(self.reading(10, a=b"1", b=b"1"))
        copy.apply(self.reading(11, a=None))
        copy.apply(self.reading(12, b=b"2"))
        changed = [(row.key, row.value) for row in copy.changes(10)]
        self.assertEqual(changed, [("a", None), ("b", b"2")])
        self.assertEqual([row.key for row in copy.changes(None)], ["b"])

    def test_row_written_again_is_not_reported_as_deleted(self):
        copy = TableCopy()
        copy.replace(self.reading(10))
        copy.apply(self.reading(11, a=None))
        copy.apply(self.reading(12, a=b"2"))
        self.assertEqual([row.value for row in copy.changes(10)], [b"2"])

    def test_older_reading_does_not_decrease_the_version(self):
        copy = TableCopy()
        copy.replace(self.reading(10, a=b"1"))
        copy.apply(self.reading(8))
        self.assertEqual((copy.version, copy.store_ms), (10, 10))

    def test_older_rows_do_not_replace_newer_ones(self):
        """Guards against routes that come back by an answer that was overtaken."""
        copy = TableCopy()
        copy.replace(self.reading(10, a=b"10"))
        copy.apply(self.reading(14, a=b"14", b=None))
        copy.apply(self.reading(12, a=b"12", b=b"12"))
        copy.replace(self.reading(11, a=b"11"))
        self.assertEqual([row.value for row in copy.changes(None)], [b"14"])
        self.assertEqual(copy.version, 14)

    def test_earlier_rows_of_a_large_value_are_known(self):
        copy = TableCopy()
        large = b"r" * LARGE_VALUE_BYTES
        for version in range(10, 18):
            rows = self.reading(version, a=large + bytes([version]), small=b"s")
            copy.replace(rows) if version == 10 else copy.apply(rows)
        versions = [copy.row_as_of("a", known) for known in (12, 13, 15, 17, 99)]
        self.assertEqual(
            [row and row.version for row in versions], [None, 13, 15, 17, 17]
        )
        self.assertIsNone(copy.row_as_of("small", 16))
