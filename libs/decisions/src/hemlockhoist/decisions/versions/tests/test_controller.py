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
    def test_without_a_move_only_the_stable_version_serves(self):
        traffic = Traffic()
        traffic.row = None
        traffic.controller = traffic.new_home()
        chosen = traffic.controller.candidates(traffic.request(), ("v1", "v2"), 0)
        self.assertEqual(chosen, ("v1",))

    def test_a_burst_gets_no_more_than_the_first_share(self):
        """A thousand requests arrive within a moment after a move began.

        Nothing is known of the new version yet. Were shares drawn, or earned by
        waiting, it might get dozens; it gets what one in a hundred allows, and no
        more than it may hold unanswered.
        """
        traffic = Traffic()
        for _ in range(1000):
            traffic.grant(traffic.request())
        self.assertLessEqual(traffic.counts["v2"], 10)
        self.assertGreaterEqual(traffic.counts["v2"], 2)

    def test_a_version_that_hangs_holds_few_requests(self):
        """The new version accepts connections and never answers.

        No answer means no evidence: were only answers counted, its share would stay
        and every hundredth caller would hang. What it holds is bounded, and an
        overdue answer counts as a failure.
        """
        traffic = Traffic()
        hang = lambda version, _: answer() if version == "v1" else None  # noqa: E731
        traffic.serve(hang, 3000)
        self.assertEqual(len(traffic.told(TakenBack)), 1)
        self.assertLessEqual(traffic.counts["v2"], 12)


class TakeOverTest(unittest.TestCase):
    """The pool's home changes while, or after, the new version got all traffic."""

    def setUp(self):
        self.traffic = Traffic()
        while self.traffic.row.state is not MoveState.FINISHED:
            self.traffic.serve(good, 100)
        self.traffic.counts = {"v1": 0, "v2": 0}

    def take_over(self, after_ms):
        self.traffic.advance(after_ms)
        self.traffic.controller = self.traffic.new_home()

    def test_version_that_fails_under_a_home_that_took_over_after_the_end(self):
        """Callers get failures for hours after a move that went well.

        The version turns bad minutes after its end, and the home that watched it is
        gone. The next one has no answers of the old version to compare with.
        """
        self.take_over(60_000)
        self.traffic.serve(bad, 300)
        self.assertEqual(len(self.traffic.told(TakenBack)), 1)
        self.assertLessEqual(self.traffic.counts["v2"], 40)

    def test_version_that_hangs_under_such_a_home(self):
        self.take_over(60_000)
        self.traffic.serve(good, 40)
        hang = lambda version, _: answer() if version == "v1" else None  # noqa: E731
        self.traffic.serve(hang, 600)
        self.assertEqual(len(self.traffic.told(TakenBack)), 1)
        self.assertLessEqual(self.traffic.counts["v2"], 40 + 60)

    def test_burst_that_hangs_is_mostly_kept_from_it(self):
        self.take_over(60_000)
        for _ in range(500):
            self.traffic.grant(self.traffic.request())
        self.assertLessEqual(self.traffic.counts["v2"], 20)

    def test_burst_goes_to_it_where_the_old_version_has_left(self):
        self.take_over(60_000)
        for _ in range(500):
            self.traffic.grant(self.traffic.request(), versions=("v2",))
        self.assertEqual(self.traffic.counts["v2"], 500)

    def test_long_after_the_end_nothing_is_judged(self):
        self.take_over(HOUR_MS)
        self.traffic.serve(bad, 300)
        self.assertEqual(self.traffic.told(TakenBack), [])


class NewHomeTest(unittest.TestCase):
    def test_bookings_wait_where_the_row_knows_calls_that_may_be_repeated(self):
        """The first to meet an unproven version are bookings.

        A new home of a pool gets bookings only, for a while, and takes the pool for
        one that has nothing else.
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
    def test_a_good_version_is_moved_in_time(self):
        traffic = Traffic()
        traffic.serve(good, 36_000)
        self.assertEqual([e.late_ms for e in traffic.told(Finished)], [0])
        self.assertEqual(traffic.row.state, MoveState.FINISHED)
        self.assertGreater(traffic.log.checks[Property.BAD_VERSION_SMALL_SHARE], 30_000)

    def test_a_version_that_fails_at_once_gets_a_handful(self):
        traffic = Traffic()
        traffic.serve(bad, 3000)
        self.assertEqual(traffic.row.state, MoveState.ROLLED_BACK)
        self.assertLessEqual(traffic.counts["v2"], 8)
        self.assertIn("failed", traffic.told(TakenBack)[0].reason)

    def test_a_long_good_past_hides_nothing(self):
        """A version serves well for half an hour, then begins to fail.

        Thousands of good answers speak for it. A test over all of them would need
        hundreds of failures; the restarted one needs a handful.
        """
        traffic = Traffic()
        traffic.serve(good, 15_000)
        before = traffic.counts["v2"]
        traffic.serve(bad, 1000)
        self.assertEqual(traffic.row.state, MoveState.ROLLED_BACK)
        self.assertLessEqual(traffic.counts["v2"] - before, 12)

    def test_badness_after_the_end_is_taken_back(self):
        traffic = Traffic()
        while not traffic.told(Finished):
            traffic.serve(good, 1000)
        traffic.serve(bad, 100)
        self.assertEqual(traffic.row.state, MoveState.ROLLED_BACK)

    def test_one_bad_upstream_is_not_a_bad_version(self):
        """One of the new version's three upstreams sits on a broken host.

        Its answers fail while those of its fellows are good. The upstream is set
        apart and named to the operators; the version goes on.
        """
        traffic = Traffic()
        one_bad = lambda v, u: failed() if (v, u) == ("v2", 1) else answer()  # noqa: E731
        traffic.serve(one_bad, 10_000)
        self.assertEqual(traffic.told(TakenBack), [])
        self.assertEqual(traffic.told(UpstreamSetApart)[0].upstream_id, "v2-1")

    def test_too_little_traffic_is_told(self):
        traffic = Traffic(moved_by_ms=HOUR_MS // 4)
        traffic.serve(good, 100, gap_ms=10_000)
        self.assertTrue(traffic.told(Late))
        self.assertLessEqual(traffic.counts["v2"], 5)


if __name__ == "__main__":
    unittest.main()
