import unittest

from hemlockhoist.base import PropertyViolation
from hemlockhoist.decisions.versions import (
    Finished,
    Late,
    MoveState,
    TakenBack,
    Widened,
)
from hemlockhoist.decisions.versions.planner import GATE_REQUESTS, MAX_TRIAL_CALLS
from hemlockhoist.decisions.versions.tests.fakes import (
    HOUR_MS,
    Traffic,
    answer,
    bad,
    good,
)


class StoreDownTest(unittest.TestCase):
    def test_a_bad_version_is_halted_and_written_down_later(self):
        """The store goes down and the new version begins to fail.

        The home can not write that it takes the version back. It grants nothing more
        all the same, and writes the row when the store is up again.
        """
        traffic = Traffic()
        traffic.serve(good, 5_000)
        traffic.store_up = False
        traffic.serve(bad, 1_000)
        self.assertEqual(len(traffic.told(TakenBack)), 1)
        self.assertEqual(traffic.row.state, MoveState.RUNNING)
        before = traffic.counts["v2"]
        traffic.serve(bad, 1_000)
        self.assertEqual(traffic.counts["v2"], before)
        traffic.store_up = True
        traffic.advance(100)
        self.assertEqual(traffic.row.state, MoveState.ROLLED_BACK)

    def test_no_share_widens(self):
        traffic = Traffic()
        traffic.serve(good, 3_000)
        row = traffic.row
        traffic.store_up = False
        traffic.serve(good, 10_000)
        self.assertEqual(traffic.told(Widened)[-1].share_permille, row.share_permille)
        share = traffic.controller.announcement().row.share_permille
        self.assertEqual(share, row.share_permille)

    def test_without_a_live_lease_no_share_widens(self):
        traffic = Traffic()
        traffic.fencing = None
        traffic.serve(good, 10_000)
        self.assertEqual(traffic.row.share_permille, 0)


class FailoverTest(unittest.TestCase):
    def test_a_new_home_keeps_the_share_and_asks_for_new_evidence(self):
        """The home dies at half of the traffic, with the store down.

        Its successor has only a peer's announcement. It goes on at the share that was
        written, not above it, and a version that is bad by now is taken back on the
        successor's own evidence.
        """
        traffic = Traffic()
        while traffic.row.share_permille < 500:
            traffic.serve(good, 500)
        heard = traffic.controller.announcement()
        traffic.store_up, traffic.row = False, heard.row
        traffic.controller = traffic.new_home()
        before = dict(traffic.counts)
        traffic.serve(good, 1_000)
        share = (traffic.counts["v2"] - before["v2"]) / 1_000
        self.assertAlmostEqual(share, heard.row.share_permille / 1000, delta=0.01)
        traffic.serve(bad, 1_000)
        self.assertEqual(len(traffic.told(TakenBack)), 1)

    def test_a_frozen_home_grants_nothing_before_it_hears_from_a_peer(self):
        """A home is frozen; meanwhile the version turns bad and peers halt it.

        When the home wakes, it knows nothing of that. It grants the old version until
        it hears from a peer or the store, and then follows the halt.
        """
        traffic = Traffic()
        traffic.serve(good, 10_000)
        peer = traffic.new_home()
        peer.halt("v2", "fails", traffic.now_ms)
        traffic.now_ms += 20_000
        before = traffic.counts["v2"]
        for _ in range(200):
            traffic.grant(traffic.request())
        self.assertEqual(traffic.counts["v2"], before)
        traffic.controller.observe_announcement(peer.announcement(), traffic.now_ms)
        traffic.serve(good, 500)
        self.assertEqual(traffic.counts["v2"], before)

    def test_grants_of_a_former_home_count_as_outstanding(self):
        traffic = Traffic()
        for _ in range(5):
            request = traffic.request()
            traffic.controller.on_adopt(request, "v2", 0, "v2-1")
        for _ in range(150):
            traffic.grant(traffic.request())
        self.assertEqual(traffic.counts["v2"], 0)

    def test_a_dead_entry_host_does_not_speak_against_the_version(self):
        """An entry host dies with a dozen answers of the new version on their way.

        Nobody reports them. They look overdue before the host is known to be dead,
        and would have a good version taken back. What a silent host holds is not
        judged, and forgotten when the host is given up.
        """
        traffic = Traffic()
        while traffic.row.share_permille < 500:
            traffic.serve(good, 500)
        lost = [traffic.request(entry_host="host-2") for _ in range(24)]
        versions = [traffic.grant(request) for request in lost]
        self.assertGreaterEqual(versions.count("v2"), 10)
        traffic.serve(good, 300)
        for request, version in zip(lost, versions, strict=True):
            traffic.controller.on_forget(request, version, traffic.now_ms)
        traffic.serve(good, 300)
        self.assertEqual(traffic.told(TakenBack), [])
        self.assertTrue(all(not lane.waiting for lane in traffic.controller._lanes))

    def test_a_halted_version_is_granted_only_by_a_fault(self):
        traffic = Traffic()
        traffic.controller.halt("v2", "told so", 0)
        with self.assertRaises(PropertyViolation):
            traffic.controller.on_grant(traffic.request(), "v2", 0)


class NonIdempotentTest(unittest.TestCase):
    def serve_mixed(self, traffic, count, outcome_of=good):
        for i in range(count):
            traffic.serve(outcome_of, 1, idempotent=i % 3 != 0)

    def shares(self, traffic, idempotent):
        told = traffic.told(Widened)
        return [e for e in told if e.idempotent is idempotent]

    def test_bookings_follow_lookups_that_have_shown_the_version(self):
        traffic = Traffic()
        self.serve_mixed(traffic, 36_000)
        first = self.shares(traffic, idempotent=False)[0]
        shown = [e for e in self.shares(traffic, True) if e.share_permille >= 500]
        self.assertGreaterEqual(first.at_ms, shown[0].at_ms)
        self.assertEqual([e.late_ms for e in traffic.told(Finished)], [0])

    def test_a_version_that_fails_at_once_gets_no_booking(self):
        traffic = Traffic()
        self.serve_mixed(traffic, 6_000, bad)
        self.assertEqual(traffic.told(TakenBack)[0].non_idempotent_count, 0)

    def test_a_pool_without_lookups_begins_one_at_a_time(self):
        """A label registry has only calls that issue labels.

        No call can be tried without harm. After it is clear that there is no other
        traffic, the new version gets calls one at a time, and never more than a
        stated number before it has proven itself.
        """
        traffic = Traffic()
        never = lambda version, _: answer() if version == "v1" else None  # noqa: E731
        traffic.serve(good, GATE_REQUESTS, idempotent=False)
        self.assertEqual(traffic.counts["v2"], 0)
        for _ in range(3_000):
            traffic.grant(traffic.request(idempotent=False))
        self.assertEqual(traffic.counts["v2"], 0)
        traffic.serve(never, 30, idempotent=False)
        for _ in range(3_000):
            traffic.grant(traffic.request(idempotent=False))
        self.assertEqual(traffic.counts["v2"], 1)

    def test_a_pool_without_lookups_is_moved(self):
        traffic = Traffic()
        traffic.serve(good, 36_000, idempotent=False)
        self.assertEqual([e.late_ms for e in traffic.told(Finished)], [0])

    def test_an_undecided_trial_ends_at_its_bound(self):
        """Calls are slower than before, but too few to call the version slow.

        The trial stops at its bound; the operators are told why the move is late.
        """
        traffic = Traffic(moved_by_ms=HOUR_MS // 2)
        count = 0

        def sometimes_slow(version, _):
            nonlocal count
            count += 1
            usual = 100 + 10 * (count % 7)
            return answer(3 * usual if version == "v2" and count % 3 else usual)

        traffic.serve(sometimes_slow, 18_000, idempotent=False)
        self.assertLessEqual(traffic.counts["v2"], MAX_TRIAL_CALLS)
        if not traffic.told(TakenBack):
            self.assertIn("have not proven", traffic.told(Late)[-1].reason)
