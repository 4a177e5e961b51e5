import unittest

from hemlockhoist.decisions.entry import TableCopy, find_readers, reader_for
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
    def test_small_fleet_reads_for_itself(self):
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

    def test_domain_of_weak_hosts_asks_another_ones_reader(self):
        weak = [member(number, 0, 500) for number in range(20)]
        strong = [member(number, 1, 2_000) for number in range(3)]
        reader = reader_for([*weak, *strong], weak[0])
        self.assertEqual(reader.failure_domain, "d1")

    def test_other_domains_reader_is_asked_while_the_near_one_fails(self):
        """The store is met by each host of a domain whose reader it turns away."""
        members = fleet(60)
        readers = find_readers(members)
        own = next(m for m in members if m not in readers.values())
        near = reader_for(members, own)
        other = reader_for(members, own, {near.address})
        self.assertIn(other, readers.values())
        self.assertNotEqual(other, near)
        failed = {member.address for member in readers.values()}
        self.assertIsNone(reader_for(members, own, failed))

    def test_another_host_reads_when_the_reader_is_gone(self):
        members = fleet(60)
        former = find_readers(members)["d0"]
        members.remove(former)
        self.assertNotEqual(find_readers(members)["d0"], former)


class TableCopyTests(unittest.TestCase):
    def reading(self, version, **rows):
        found = tuple(
            StoreRow(key=key, value=value, version=version)
            for key, value in rows.items()
        )
        return Reading(rows=found, version=version, store_ms=version, sent_ms=0)

    def test_follower_of_an_unknown_past_has_to_read_all(self):
        """An upstream that was dropped goes on being used.

        The reader began after it was dropped; told only of what it knows as changed,
        the follower would keep it for good.
        """
        copy = TableCopy()
        copy.replace(self.reading(10, a=b"1"))
        self.assertIsNone(copy.changes(9))
        self.assertEqual(copy.changes(10), ())

    def test_dropped_rows_are_told(self):
        copy = TableCopy()
        copy.replace(self.reading(10, a=b"1", b=b"1"))
        copy.apply(self.reading(11, a=None))
        copy.apply(self.reading(12, b=b"2"))
        told = [(row.key, row.value) for row in copy.changes(10)]
        self.assertEqual(told, [("a", None), ("b", b"2")])
        self.assertEqual([row.key for row in copy.changes(None)], ["b"])

    def test_row_that_comes_back_is_not_told_as_dropped(self):
        copy = TableCopy()
        copy.replace(self.reading(10))
        copy.apply(self.reading(11, a=None))
        copy.apply(self.reading(12, a=b"2"))
        self.assertEqual([row.value for row in copy.changes(10)], [b"2"])

    def test_older_reading_does_not_turn_the_version_back(self):
        copy = TableCopy()
        copy.replace(self.reading(10, a=b"1"))
        copy.apply(self.reading(8))
        self.assertEqual((copy.version, copy.store_ms), (10, 10))
