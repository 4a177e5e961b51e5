import doctest
import unittest

from hemlockhoist.decisions.entry import PlannedStop, planned_stop

GRACES_MS = (500, 1_000, 3_000, 8_000, 30_000)
BEGIN_MS = 5_000


def load_tests(loader, tests, pattern):
    tests.addTests(doctest.DocTestSuite(planned_stop))
    return tests


class TimesTests(unittest.TestCase):
    def test_times_are_in_order_within_any_grace(self):
        """Guards against a constant that is longer than the grace."""
        for grace_ms in GRACES_MS:
            with self.subTest(grace_ms=grace_ms):
                stop = PlannedStop(BEGIN_MS, grace_ms)
                times_ms = [
                    BEGIN_MS,
                    stop.listens_until_ms,
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


class RequestTests(unittest.TestCase):
    def last_ms(self, grace_ms, limit_ms, expected_ms=None):
        """Return until when a request with a limit is accepted; -1 for never."""
        stop = PlannedStop(BEGIN_MS, grace_ms)
        accepted = [
            now_ms - BEGIN_MS
            for now_ms in range(BEGIN_MS, BEGIN_MS + grace_ms)
            if stop.may_send(now_ms, now_ms + limit_ms, expected_ms)
        ]
        self.assertEqual(accepted, list(range(len(accepted))))
        return len(accepted) - 1

    def test_request_is_sent_only_if_its_limit_leaves_room_for_its_answer(self):
        """Guards against a late request whose outcome nobody knows."""
        for limit_ms, expected in (
            (1_500, (-1, 1_001, 5_500, 27_500)),
            (5_000, (-1, -1, 2_000, 24_000)),
            (8_000, (-1, -1, -1, 21_000)),
        ):
            found = [self.last_ms(grace_ms, limit_ms) for grace_ms in GRACES_MS[1:]]
            with self.subTest(limit_ms=limit_ms):
                self.assertEqual(found, list(expected))

    def test_quick_request_with_a_long_limit_is_sent_while_callers_connect(self):
        """Guards against a stop that turns away all requests with long limits."""
        self.assertEqual(self.last_ms(8_000, 8_000, 400), 2_665)
        self.assertEqual(self.last_ms(1_000, 8_000, 100), 332)

    def test_request_that_usually_takes_long_is_not_sent(self):
        """Guards against a request that runs beyond the grace as others of its route."""
        self.assertEqual(self.last_ms(8_000, 8_000, 3_000), 1_000)
        self.assertEqual(self.last_ms(8_000, 8_000, 3_501), -1)
        self.assertEqual(self.last_ms(1_000, 8_000, 500), -1)

    def test_waiting_request_is_refused_once_it_may_not_be_sent(self):
        """Guards against a wait for a slot that comes too late."""
        stop = PlannedStop(BEGIN_MS, 8_000)
        deadline_ms = BEGIN_MS + 9_000
        self.assertTrue(stop.may_send(BEGIN_MS + 2_665, deadline_ms, 400))
        self.assertFalse(stop.may_send(BEGIN_MS + 2_666, deadline_ms, 400))
        self.assertTrue(stop.may_send(BEGIN_MS + 6_900, BEGIN_MS + 7_000, 400))


if __name__ == "__main__":
    unittest.main()
