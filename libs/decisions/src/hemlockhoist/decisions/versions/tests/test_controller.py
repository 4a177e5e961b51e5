import unittest

from hemlockhoist.base import Property
from hemlockhoist.decisions.versions import (
    Finished,
    Late,
    MoveState,
    TakenBack,
    UpstreamSetApart,
)
from hemlockhoist.decisions.versions.tests.fakes import (
    HOUR_MS,
    Traffic,
    answer,
    bad,
    failed,
    good,
)


class ShareTest(unittest.TestCase):
    def test_only_the_stable_version_serves_without_a_move(self):
        traffic = Traffic()
        traffic.row = None
        traffic.controller = traffic.new_home()
        chosen = traffic.controller.candidates(traffic.request(), ("v1", "v2"), 0)
        self.assertEqual(chosen, ("v1",))

    def test_burst_at_the_start_does_not_exceed_the_first_share(self):
        """Guards against a burst reaching an untested version.

        A thousand requests arrive at once after a move has started. With randomly
        sampled or time-based shares, the new version could get dozens of them. It must
        get at most one in a hundred, and no more than it may hold unanswered.
        """
        traffic = Traffic()
        for _ in range(1000):
            traffic.grant(traffic.request())
        self.assertLessEqual(traffic.counts["v2"], 10)
        self.assertGreaterEqual(traffic.counts["v2"], 2)

    def test_hanging_version_gets_few_requests(self):
        """Guards against a version that accepts connections and never answers.

        If only answers counted as evidence, it would keep its share and every hundredth
        caller would hang. The unanswered requests are bounded, and an overdue answer
        counts as a failure.
        """
        traffic = Traffic()
        hang = lambda version, _: answer() if version == "v1" else None  # noqa: E731
        traffic.serve(hang, 3000)
        self.assertEqual(len(traffic.events_of_type(TakenBack)), 1)
        self.assertLessEqual(traffic.counts["v2"], 12)


class TakeOverTest(unittest.TestCase):
    """The pool's home changes after the new version got all traffic."""

    def setUp(self):
        self.traffic = Traffic()
        while self.traffic.row.state is not MoveState.FINISHED:
            self.traffic.serve(good, 100)
        self.traffic.counts = {"v1": 0, "v2": 0}

    def take_over(self, after_ms):
        self.traffic.advance(after_ms)
        self.traffic.controller = self.traffic.new_home()

    def test_new_home_detects_a_version_that_fails_after_the_end(self):
        """Guards against failures that persist for hours after a successful move.

        The version becomes bad minutes after the end of the move, when the home that
        observed it has gone. The next home has no answers of the old version to compare
        with.
        """
        self.take_over(60_000)
        self.traffic.serve(bad, 300)
        self.assertEqual(len(self.traffic.events_of_type(TakenBack)), 1)
        self.assertLessEqual(self.traffic.counts["v2"], 40)

    def test_new_home_detects_a_version_that_hangs_after_the_end(self):
        self.take_over(60_000)
        self.traffic.serve(good, 40)
        hang = lambda version, _: answer() if version == "v1" else None  # noqa: E731
        self.traffic.serve(hang, 600)
        self.assertEqual(len(self.traffic.events_of_type(TakenBack)), 1)
        self.assertLessEqual(self.traffic.counts["v2"], 40 + 60)

    def test_unanswered_burst_goes_mostly_to_the_old_version(self):
        self.take_over(60_000)
        for _ in range(500):
            self.traffic.grant(self.traffic.request())
        self.assertLessEqual(self.traffic.counts["v2"], 20)

    def test_burst_goes_to_the_new_version_if_the_old_one_is_gone(self):
        self.take_over(60_000)
        for _ in range(500):
            self.traffic.grant(self.traffic.request(), versions=("v2",))
        self.assertEqual(self.traffic.counts["v2"], 500)

    def test_failures_long_after_the_end_are_not_evaluated(self):
        self.take_over(HOUR_MS)
        self.traffic.serve(bad, 300)
        self.assertEqual(self.traffic.events_of_type(TakenBack), [])


class NewHomeTest(unittest.TestCase):
    def test_non_idempotent_calls_wait_if_the_row_lists_idempotent_ones(self):
        """Guards against non-idempotent calls being the first on an unproven version.

        A new home of a pool gets only non-idempotent calls for a while, and must not
        assume that the pool has no others.
        """
        traffic = Traffic()
        traffic.serve(good, 2_000)
        share = traffic.row.lanes[0].share_permille
        self.assertLess(share, 500)
        traffic.controller = traffic.new_home()
        traffic.counts = {"v1": 0, "v2": 0}
        traffic.serve(good, 400, idempotent=False)
        self.assertEqual(traffic.counts["v2"], 0)


class MoveTest(unittest.TestCase):
    def test_move_to_a_good_version_finishes_in_time(self):
        traffic = Traffic()
        traffic.serve(good, 36_000)
        self.assertEqual([e.late_ms for e in traffic.events_of_type(Finished)], [0])
        self.assertEqual(traffic.row.state, MoveState.FINISHED)
        self.assertGreater(traffic.log.checks[Property.BAD_VERSION_SMALL_SHARE], 30_000)

    def test_version_that_always_fails_gets_few_requests(self):
        traffic = Traffic()
        traffic.serve(bad, 3000)
        self.assertEqual(traffic.row.state, MoveState.ROLLED_BACK)
        self.assertLessEqual(traffic.counts["v2"], 8)
        self.assertIn("failed", traffic.events_of_type(TakenBack)[0].reason)

    def test_late_failure_is_detected_after_a_long_good_period(self):
        """Guards against a version that fails after half an hour of good answers.

        A test over all of its thousands of good answers would need hundreds of
        failures; the cumulative sum, which restarts at zero, needs only a few.
        """
        traffic = Traffic()
        traffic.serve(good, 15_000)
        before = traffic.counts["v2"]
        traffic.serve(bad, 1000)
        self.assertEqual(traffic.row.state, MoveState.ROLLED_BACK)
        self.assertLessEqual(traffic.counts["v2"] - before, 12)

    def test_failure_after_the_end_is_rolled_back(self):
        traffic = Traffic()
        while not traffic.events_of_type(Finished):
            traffic.serve(good, 1000)
        traffic.serve(bad, 100)
        self.assertEqual(traffic.row.state, MoveState.ROLLED_BACK)

    def test_one_bad_upstream_does_not_stop_the_move(self):
        """Guards against rolling back a good version because of one broken machine.

        Only the answers of one of the version's three upstreams fail. That upstream is
        excluded and reported to the operators, and the move continues.
        """
        traffic = Traffic()
        one_bad = lambda v, u: failed() if (v, u) == ("v2", 1) else answer()  # noqa: E731
        traffic.serve(one_bad, 10_000)
        self.assertEqual(traffic.events_of_type(TakenBack), [])
        self.assertEqual(
            traffic.events_of_type(UpstreamSetApart)[0].upstream_id, "v2-1"
        )

    def test_delay_caused_by_little_traffic_is_reported(self):
        traffic = Traffic(moved_by_ms=HOUR_MS // 4)
        traffic.serve(good, 100, gap_ms=10_000)
        self.assertTrue(traffic.events_of_type(Late))
        self.assertLessEqual(traffic.counts["v2"], 5)


if __name__ == "__main__":
    unittest.main()
