import unittest

from hemlockhoist.standins.published.soak.history_checks import (
    HistorySpan,
    find_history_violations,
)

SPAN = HistorySpan(10.0, 14.0)


def reads(count, table="op"):
    return [(11.0, table, f"127.0.7.{number}") for number in range(count)]


class HistoryCheckTests(unittest.TestCase):
    def check(self, whole_reads, disturbances=()):
        found, _ = find_history_violations([SPAN], whole_reads, disturbances, 2)
        return len(found)

    def test_one_reading_by_each_reader_is_allowed(self):
        self.assertEqual(self.check([*reads(2), *reads(2, "servers")]), 0)

    def test_reading_by_another_host_is_found(self):
        self.assertEqual(self.check(reads(3)), 1)
        self.assertEqual(self.check(reads(3, "servers")), 1)

    def test_each_other_disturbance_allows_one_more_by_each_reader(self):
        self.assertEqual(self.check(reads(4), [(12.0, 13.0)]), 0)
        self.assertEqual(self.check(reads(5), [(12.0, 13.0)]), 1)
        self.assertEqual(self.check(reads(3), [(1.0, 2.0)]), 1)

    def test_readings_outside_the_span_are_not_counted(self):
        early = [(9.0, "op", "127.0.7.1")] * 9
        self.assertEqual(self.check([*early, *reads(2)]), 0)
