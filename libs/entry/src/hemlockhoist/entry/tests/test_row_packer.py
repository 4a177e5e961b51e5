import unittest

from hemlockhoist.base import PeerError
from hemlockhoist.decisions.entry import TableCopy
from hemlockhoist.entry.row_packer import RowPacker, read_answer, read_row
from hemlockhoist.messages import FeedAnswer, FeedQuestion
from hemlockhoist.store import Reading, StoreRow

VALUE = b"{name: r-%d, prefix: /%d/}," * 200


def copy_of(*versions):
    """Return a copy of a table that has seen some versions of one large row."""
    copy = TableCopy()
    for version in versions:
        reading = Reading(
            rows=(large_row(version),), version=version, store_ms=version, sent_ms=0
        )
        if copy.version:
            copy.apply(reading)
        else:
            copy.replace(reading)
    return copy


def large_row(version):
    return StoreRow(key="config", value=VALUE + b"%d" % version, version=version)


def query(since_version, unpacks=True):
    return FeedQuestion(
        number=1, table="op", since_version=since_version, wait_ms=0, unpacks=unpacks
    )


class RowPackerTests(unittest.TestCase):
    def setUp(self):
        self.packer = RowPacker()
        self.copy = copy_of(3, 5, 9)

    def test_change_is_packed_by_the_value_of_the_host_that_asks(self):
        wire = self.packer.wire_row(large_row(9), self.copy, query(5))
        self.assertEqual((wire.is_packed, wire.base_version), (True, 5))
        self.assertLess(len(wire.value), 100)
        self.assertEqual(read_row(wire, copy_of(3, 5)), large_row(9))

    def test_host_without_the_earlier_value_gets_the_whole_one(self):
        for since_version in (None, 2):
            wire = self.packer.wire_row(large_row(9), self.copy, query(since_version))
            self.assertEqual((wire.is_packed, wire.base_version), (True, 0))
            self.assertEqual(read_row(wire, None), large_row(9))

    def test_host_that_saw_other_versions_finds_out(self):
        """Guards against routes that are put together from two versions."""
        wire = self.packer.wire_row(large_row(9), self.copy, query(5))
        for copy in (None, copy_of(3), copy_of(4)):
            with self.assertRaises(PeerError):
                read_row(wire, copy)

    def test_host_of_an_earlier_release_gets_plain_values(self):
        wire = self.packer.wire_row(large_row(9), self.copy, query(5, unpacks=False))
        self.assertEqual((wire.is_packed, wire.value), (False, large_row(9).value))

    def test_small_and_removed_rows_are_not_packed(self):
        for value in (None, b"small"):
            row = StoreRow(key="config", value=value, version=9)
            wire = self.packer.wire_row(row, self.copy, query(5))
            self.assertEqual((wire.is_packed, wire.value), (False, value))

    def test_answer_without_the_time_of_the_store_is_not_used(self):
        """Guards against a proof of the routes that never grows old."""
        for clock_ms, is_used in ((0, False), (899, False), (900, True)):
            answer = FeedAnswer(number=1, version=9, store_ms=900, clock_ms=clock_ms)
            reading = read_answer(answer, "h1", None, sent_ms=0)
            self.assertEqual(reading is not None, is_used)
