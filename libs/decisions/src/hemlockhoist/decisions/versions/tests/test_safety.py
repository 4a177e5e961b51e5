import unittest

from hemlockhoist.base import PropertyViolation
from hemlockhoist.decisions.versions import (
    Finished,
    Late,
    MoveState,
    TakenBack,
    Widened,
)
from hemlockhoist.decisions.versions.planner import (
    MAX_TRIAL_CALLS,
    NON_IDEMPOTENT_ONLY_GRANTS,
)
from hemlockhoist.decisions.versions.tests.fakes import (
    HOUR_MS,
    Traffic,
    answer,
    bad,
    good,
)


class StoreDownTest(unittest.TestCase):
    def test_bad_version_is_halted_before_the_row_is_written(self):
        """Guards against grants of a bad version while the store is unavailable.

        The home cannot write the roll-back. It has to stop granting the version at
        once, and to write the row when the store is available again.
        """
        traffic = Traffic()
        traffic.serve(good, 5_000)
        traffic.store_up = False
        traffic.serve(bad, 1_000)
        self.assertEqual(len(traffic.events_of_type(TakenBack)), 1)
        self.assertEqual(traffic.row.state, MoveState.RUNNING)
        before = traffic.counts["v2"]
        traffic.serve(bad, 1_000)
        self.assertEqual(traffic.counts["v2"], before)
        traffic.store_up = True
        traffic.advance(100)
        self.assertEqual(traffic.row.state, MoveState.ROLLED_BACK)

    def test_no_share_grows_without_the_store(self):
        traffic = Traffic()
        traffic.serve(good, 3_000)
        row = traffic.row
        traffic.store_up = False
        traffic.serve(good, 10_000)
        self.assertEqual(
            traffic.events_of_type(Widened)[-1].share_permille, row.share_permille
        )
        share = traffic.controller.announcement().row.share_permille
        self.assertEqual(share, row.share_permille)

    def test_no_share_grows_without_a_live_lease(self):
        traffic = Traffic()
        traffic.fencing = None
        traffic.serve(good, 10_000)
        self.assertEqual(traffic.row.share_permille, 0)


class FailoverTest(unittest.TestCase):
    def test_new_home_keeps_the_share_and_collects_new_evidence(self):
        """Guards against a larger share, or a missed bad version, after a failover.

        The home fails at half of the traffic while the store is unavailable, and its
        successor has only a peer's announcement. It keeps the written share, and rolls
        back a version that has become bad on its own evidence.
        """
        traffic = Traffic()
        while traffic.row.share_permille < 500:
            traffic.serve(good, 500)
        announced = traffic.controller.announcement()
        traffic.store_up, traffic.row = False, announced.row
        traffic.controller = traffic.new_home()
        before = dict(traffic.counts)
        traffic.serve(good, 1_000)
        share = (traffic.counts["v2"] - before["v2"]) / 1_000
        self.assertAlmostEqual(share, announced.row.share_permille / 1000, delta=0.01)
        traffic.serve(bad, 1_000)
        self.assertEqual(len(traffic.events_of_type(TakenBack)), 1)

    def test_resumed_home_grants_the_new_version_only_after_an_update(self):
        """Guards against grants of a version that was halted during a suspension.

        The version becomes bad and peers halt it while the home is suspended. When it
        resumes, it grants the old version until a peer or the store reports the state,
        and then applies the halt.
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

    def test_grants_issued_by_a_previous_home_count_as_outstanding(self):
        traffic = Traffic()
        for _ in range(5):
            request = traffic.request()
            traffic.controller.on_adopt(request, "v2", 0, "v2-1")
        for _ in range(150):
            traffic.grant(traffic.request())
        self.assertEqual(traffic.counts["v2"], 0)

    def test_failed_entry_host_does_not_count_against_the_version(self):
        """Guards against rolling back a good version because an entry host failed.

        The host fails with a dozen answers of the new version pending, which are never
        reported and appear overdue before the failure is detected. Requests of an
        unresponsive host are not evaluated, and removed when it is declared failed.
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
        self.assertEqual(traffic.events_of_type(TakenBack), [])
        self.assertTrue(all(not lane.in_flight for lane in traffic.controller._lanes))

    def test_granting_a_halted_version_violates_an_invariant(self):
        traffic = Traffic()
        traffic.controller.halt("v2", "halted by an operator", 0)
        with self.assertRaises(PropertyViolation):
            traffic.controller.on_grant(traffic.request(), "v2", 0)


class NonIdempotentTest(unittest.TestCase):
    def serve_mixed(self, traffic, count, outcome_of=good):
        for i in range(count):
            traffic.serve(outcome_of, 1, idempotent=i % 3 != 0)

    def shares(self, traffic, idempotent):
        events = traffic.events_of_type(Widened)
        return [e for e in events if e.idempotent is idempotent]

    def test_non_idempotent_calls_begin_after_idempotent_ones_reach_the_gate(self):
        traffic = Traffic()
        self.serve_mixed(traffic, 36_000)
        first = self.shares(traffic, idempotent=False)[0]
        shown = [e for e in self.shares(traffic, True) if e.share_permille >= 500]
        self.assertGreaterEqual(first.at_ms, shown[0].at_ms)
        self.assertEqual([e.late_ms for e in traffic.events_of_type(Finished)], [0])

    def test_version_that_always_fails_gets_no_non_idempotent_call(self):
        traffic = Traffic()
        self.serve_mixed(traffic, 6_000, bad)
        self.assertEqual(traffic.events_of_type(TakenBack)[0].non_idempotent_count, 0)

    def test_pool_with_only_non_idempotent_calls_begins_one_at_a_time(self):
        """Guards against harm in a pool that has only non-idempotent calls.

        An example is a registry that issues labels. Once it is clear that there are no
        idempotent calls, the new version gets calls one at a time, and at most a fixed
        number before it is proven.
        """
        traffic = Traffic()
        never = lambda version, _: answer() if version == "v1" else None  # noqa: E731
        traffic.serve(good, NON_IDEMPOTENT_ONLY_GRANTS, idempotent=False)
        self.assertEqual(traffic.counts["v2"], 0)
        for _ in range(3_000):
            traffic.grant(traffic.request(idempotent=False))
        self.assertEqual(traffic.counts["v2"], 0)
        traffic.serve(never, 30, idempotent=False)
        for _ in range(3_000):
            traffic.grant(traffic.request(idempotent=False))
        self.assertEqual(traffic.counts["v2"], 1)

    def test_pool_with_only_non_idempotent_calls_is_moved_in_time(self):
        traffic = Traffic()
        traffic.serve(good, 36_000, idempotent=False)
        self.assertEqual([e.late_ms for e in traffic.events_of_type(Finished)], [0])

    def test_inconclusive_trial_stops_at_its_bound(self):
        """Guards against an endless trial of non-idempotent calls.

        Calls are slower than before, but too few for a verdict. The trial stops at its
        bound, and the reason for the delay is reported to the operators.
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
        if not traffic.events_of_type(TakenBack):
            self.assertIn("have not proven", traffic.events_of_type(Late)[-1].reason)
