import unittest

from hemlockhoist.decisions.entry import StaleEntries


class StaleEntriesTests(unittest.TestCase):
    def setUp(self):
        self.stale = StaleEntries(retention_ms=1_000)

    def test_host_that_returns_in_time_keeps_its_entry(self):
        self.stale.find({"a": 1, "b": 1}, ["a", "b"], 0)
        self.stale.find({"a": 1, "b": 1}, ["a"], 900)
        self.stale.find({"a": 1, "b": 1}, ["a", "b"], 1_000)
        self.assertEqual(self.stale.find({"a": 1, "b": 1}, ["a"], 1_900), ())
        self.assertEqual(self.stale.find({"a": 1, "b": 1}, ["a"], 2_000), ("b",))

    def test_host_that_has_just_started_removes_nothing(self):
        """Guards against removing all entries when a host has just restarted."""
        self.assertEqual(self.stale.find({"a": 1, "b": 1, "c": 1}, ["a"], 50_000), ())

    def test_rewritten_entry_starts_a_new_retention_period(self):
        self.stale.find({"a": 1, "b": 1}, ["a"], 0)
        self.assertEqual(self.stale.find({"a": 1, "b": 2}, ["a"], 1_500), ())
