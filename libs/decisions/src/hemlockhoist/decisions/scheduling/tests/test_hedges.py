import unittest

from hemlockhoist.base import ResultCode
from hemlockhoist.decisions import Outcome, OutcomeKind, Rejected, Upstream
from hemlockhoist.decisions.scheduling import DeclaredSlotsTracker, PoolScheduler
from hemlockhoist.decisions.scheduling.tests import builders as b
from hemlockhoist.declarations import Pool, PoolKind, Tier

SLOTS = 2


class HedgeTests(unittest.TestCase):
    def setUp(self):
        self.scheduler = self.new_scheduler()

    def new_scheduler(self, **settings):
        """Return a scheduler with three upstreams."""
        pool = Pool(name="halls", kind=PoolKind.MODEL, stable_version="")
        tier = Tier(name="t", rank=0, deadline_ms=30_000, first_token_target_ms=2_000)
        settings = {"tracker": DeclaredSlotsTracker()} | settings
        scheduler = PoolScheduler.from_config(pool, (tier,), "i", **settings)
        scheduler.set_upstreams(self.upstreams("u0", "u1", "u2"), 0)
        return scheduler

    def upstreams(self, *names):
        values = {"pool": "halls", "version": "v1", "address": "127.0.0.1:1"}
        return [
            Upstream(upstream_id=name, region=name, slot_count=SLOTS, **values)
            for name in names
        ]

    def set_upstreams(self, *names):
        self.scheduler.set_upstreams(self.upstreams(*names), 0)

    def grants(self, count, now_ms=0):
        found = []
        for _ in range(count):
            found += self.scheduler.submit(b.request(), now_ms)
        return [decision.grant for decision in found]

    def hedge(self, avoid=(), now_ms=0, **fields):
        """Submit a hedge; return its upstream, or None if it was refused at once."""
        request = b.request(
            run_number=2, arrival_number=2, is_hedge=True, avoid=avoid, **fields
        )
        (decision,) = self.scheduler.submit(request, now_ms)
        self.assertEqual(decision.request.request_id, request.request_id)
        if isinstance(decision, Rejected):
            self.assertIs(decision.code, ResultCode.OVERLOADED)
            return None
        return decision.grant.upstream_id

    def test_hedge_goes_to_an_upstream_that_has_not_got_the_request(self):
        """Guards against a hedge at the slow upstream, which is often free."""
        for _ in range(SLOTS):
            self.assertEqual(self.hedge(("u0", "u1")), "u2")
        self.assertIsNone(self.hedge(("u0", "u1")))

    def test_hedge_never_takes_the_last_free_slot(self):
        self.grants(3 * SLOTS - 2)
        self.assertIsNotNone(self.hedge())
        self.assertIsNone(self.hedge())
        self.assertEqual(len(self.grants(1)), 1)

    def test_hedge_is_refused_while_any_request_waits(self):
        """Guards against a hedge that is queued, or served before a new request."""
        for _ in range(SLOTS):
            self.scheduler.submit(b.request(regions=("u0",)), 0)
        self.assertIsNotNone(self.hedge())
        waiting = b.request(regions=("u0",))
        self.assertEqual(self.scheduler.submit(waiting, 0), [])
        self.assertIsNone(self.hedge())
        self.assertEqual(self.scheduler.queued, 1)

    def test_hedge_avoids_suspended_upstreams_also_while_they_are_probed(self):
        (grant,) = self.grants(1)
        outcome = Outcome(kind=OutcomeKind.CONNECT_FAILED)
        self.scheduler.release(grant.grant_id, outcome, 0)
        others = {"u0", "u1", "u2"} - {grant.upstream_id}
        for now_ms in (1, 60_000):
            self.assertIsNone(self.hedge(tuple(others), now_ms))

    def test_hedge_avoids_an_upstream_that_reports_that_it_is_slow(self):
        """Guards against a second attempt that is as slow as the first one."""
        self.scheduler.observe_slowdown("u2", 250, 0, 0)
        self.assertIsNone(self.hedge(("u0", "u1")))
        self.scheduler.observe_slowdown("u2", 100, 10, 10)
        self.assertEqual(self.hedge(("u0", "u1"), 10), "u2")

    def test_customer_limit_holds_for_hedges(self):
        self.grants(1)
        self.assertIsNone(self.hedge(max_in_flight=1))

    def test_hedge_is_refused_during_recovery(self):
        """Guards against a new home that takes slots for free that others hold."""
        self.scheduler.begin_recovery(0)
        self.assertIsNone(self.hedge())

    def reserve(self, count, now_ms, ahead_ms=0.0):
        """Reserve capacity for retries of refused requests of the lowest tier."""
        for number in range(count):
            request = b.request(rank=2, prompt_tokens=1_000 + number, now_ms=now_ms)
            self.scheduler.reservations.reserve(request, 1.0, ahead_ms, 6, 6, now_ms)

    def test_hedge_takes_no_slot_that_is_reserved_for_a_client_retry(self):
        """Guards against a retry with a reservation that waits for the end of a hedge."""
        for ahead_ms, now_ms, is_reserved in ((0.0, 0, True), (30_000.0, 0, False)):
            self.scheduler = self.new_scheduler(reserves_retries=True)
            self.reserve(4, now_ms, ahead_ms)
            with self.subTest(ahead_ms):
                self.assertIsNotNone(self.hedge())
                self.assertEqual(self.hedge() is None, is_reserved)

    def test_reserved_slots_are_spare_once_nobody_claims_them(self):
        """Guards against reservations that keep hedges away after they lapsed."""
        self.scheduler = self.new_scheduler(reserves_retries=True)
        self.reserve(5, 0)
        self.assertIsNone(self.hedge())
        self.assertIsNotNone(self.hedge(now_ms=600))

    def pace_after(self, sent_ms, request=None, **fields):
        """Return the pace of an upstream before and after an outcome."""
        self.set_upstreams("u0")
        tracked = self.scheduler._upstreams.tracker.get("u0")
        for _ in range(10):
            tracked.pace.observe_service_call(40)
        request = request or b.request(prompt_tokens=0, output_tokens=0)
        (decision,) = self.scheduler.submit(request, 0)
        before = tracked.pace.token_ms
        outcome = Outcome(kind=OutcomeKind.CANCELLED, total_ms=sent_ms, **fields)
        self.scheduler.release(decision.grant.grant_id, outcome, sent_ms)
        return before, tracked.pace.token_ms

    def test_overtaken_attempt_is_evidence_of_its_time_so_far(self):
        """Guards against a slow upstream that seems quick as its losers don't count."""
        before, after = self.pace_after(400, is_overtaken=True)
        self.assertGreater(after, 2 * before)
        self.assertLessEqual(after, 400)

    def test_attempt_overtaken_early_is_no_evidence(self):
        """Guards against an upstream that seems quick as it was cancelled early."""
        before, after = self.pace_after(30, is_overtaken=True)
        self.assertEqual(after, before)

    def test_cancelled_attempt_says_nothing_about_its_upstream(self):
        """Guards against an upstream that is avoided or preferred as it lost a race."""
        self.set_upstreams("u0")
        tracked = self.scheduler._upstreams.tracker.get("u0")
        before = (tracked.pace.token_ms, tracked.hold_ms, tracked.failures.counts(0))
        (grant,) = self.grants(1)
        outcome = Outcome(kind=OutcomeKind.CANCELLED, total_ms=5_000)
        self.scheduler.release(grant.grant_id, outcome, 0)
        after = (tracked.pace.token_ms, tracked.hold_ms, tracked.failures.counts(0))
        self.assertEqual(after, before)
        self.assertFalse(self.scheduler.is_suspended("u0", 0))
