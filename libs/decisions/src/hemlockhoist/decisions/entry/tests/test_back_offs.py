import doctest
import unittest

from hemlockhoist.decisions.entry import BackOffs, back_offs
from hemlockhoist.decisions.entry.back_offs import MAX_BACK_OFF_MS
from hemlockhoist.decisions.entry.tests.test_advertised_limits import upstream


def load_tests(loader, tests, pattern):
    tests.addTests(doctest.DocTestSuite(back_offs))
    return tests


class BackOffsTests(unittest.TestCase):
    def setUp(self):
        self.back_offs = BackOffs()
        self.back_offs.set_listed([upstream("u1"), upstream("u2")], 0)

    def record(self, back_off_ms, now_ms=0):
        return self.back_offs.record("halls", "u1", back_off_ms, now_ms)

    def test_shorter_or_missing_time_does_not_end_a_longer_one(self):
        """Guards against a late answer that shortens the rest of an upstream."""
        self.assertTrue(self.record(3_000))
        self.assertFalse(self.record(1_000, now_ms=500))
        self.assertFalse(self.record(0, now_ms=1_000))
        self.assertEqual(self.back_offs.remaining_ms("u1", 1_000), 2_000)

    def test_absurd_time_is_bounded(self):
        self.record(10**12)
        self.assertEqual(self.back_offs.remaining_ms("u1", 0), MAX_BACK_OFF_MS)

    def test_back_off_outlasts_a_lapse_of_the_list_but_no_restart(self):
        self.record(3_000)
        self.back_offs.set_listed([], 500)
        self.back_offs.set_listed([upstream("u1")], 1_000)
        self.assertEqual(self.back_offs.remaining_ms("u1", 1_000), 2_000)
        self.back_offs.set_listed([upstream("u1", started_unix_ms=2)], 1_500)
        self.assertEqual(self.back_offs.remaining_ms("u1", 1_500), 0)
