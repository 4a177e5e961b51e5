import unittest

from hemlockhoist.decisions.entry import PlannedStop

GRACES_MS = (500, 1_000, 3_000, 8_000, 30_000)
BEGIN_MS = 5_000


class TimesTests(unittest.TestCase):
    def test_times_are_in_order_within_any_grace(self):
        """Guards against a constant that is longer than the grace."""
        for grace_ms in GRACES_MS:
            with self.subTest(grace_ms=grace_ms):
                stop = PlannedStop(BEGIN_MS, grace_ms)
                times_ms = [
                    BEGIN_MS,
                    stop.listens_until_ms,
                    stop.waits_until_ms,
                    stop.answers_due_ms,
                    stop.ends_ms,
                    stop.ends_ms + stop.flush_ms,
                    BEGIN_MS + grace_ms,
                ]
                self.assertEqual(times_ms, sorted(set(times_ms)))

    def test_answers_are_due_in_the_last_sixth_of_the_grace(self):
        """Guards against unknown outcomes of requests that would still be answered."""
        for grace_ms in GRACES_MS:
            with self.subTest(grace_ms=grace_ms):
                stop = PlannedStop(BEGIN_MS, grace_ms)
                last_sixth_ms = BEGIN_MS + 5 * grace_ms // 6
                self.assertGreaterEqual(stop.answers_due_ms, last_sixth_ms)

    def test_times_of_a_grace_of_8_s(self):
        stop = PlannedStop(BEGIN_MS, 8_000)
        self.assertEqual(stop.listens_until_ms - BEGIN_MS, 2_666)
        self.assertEqual(stop.answers_due_ms - BEGIN_MS, 7_000)
        self.assertEqual(stop.ends_ms - BEGIN_MS, 7_300)
        self.assertEqual(stop.flush_ms, 233)

    def test_deadline_after_the_last_answers_is_known(self):
        stop = PlannedStop(BEGIN_MS, 8_000)
        self.assertFalse(stop.ends_before(BEGIN_MS + 7_000))
        self.assertTrue(stop.ends_before(BEGIN_MS + 7_001))


if __name__ == "__main__":
    unittest.main()
