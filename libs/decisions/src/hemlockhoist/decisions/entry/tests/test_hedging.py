import doctest
import unittest

from hemlockhoist.decisions.entry import HedgePolicy, HedgeRefusal, hedging
from hemlockhoist.decisions.entry.hedging import (
    MAX_SAVED_HEDGES,
    MIN_OWN_WEIGHT,
    MIN_WEIGHT,
    REFUSED_PAUSE_MS,
)
from hemlockhoist.decisions.entry.response_times import MAX_KEPT
from hemlockhoist.decisions.entry.tests.hedging_simulation import (
    POOL,
    ROUTE,
    Mode,
    Simulation,
)
from hemlockhoist.declarations import CallKind, Route

PERMILLE = 50


def load_tests(loader, tests, pattern):
    tests.addTests(doctest.DocTestSuite(hedging))
    return tests


def route(kind=CallKind.IDEMPOTENT, max_attempts=2, **fields):
    return Route(
        name=ROUTE,
        host="h",
        prefix="/",
        kind=kind,
        timeout_ms=1_000,
        target_ms=300,
        max_attempts=max_attempts,
        **fields,
    )


class HedgePolicyTests(unittest.TestCase):
    def policy(self, permille=PERMILLE, responses=100, requests=1_000):
        policy = HedgePolicy(permille)
        for _ in range(requests):
            policy.count_request()
        for _ in range(responses):
            policy.observe(ROUTE, POOL, 40, now_ms=0)
        return policy

    def test_only_repeatable_requests_with_an_attempt_left_are_hedged(self):
        """Guards against a booking that runs twice."""
        cases = (
            (route(), True),
            (route(max_attempts=1), False),
            (route(CallKind.NON_IDEMPOTENT), False),
            (route(CallKind.STREAM), False),
            (route(CallKind.STREAM, is_resumable=True), True),
        )
        for declared, allowed in cases:
            with self.subTest(declared):
                self.assertIs(HedgePolicy(PERMILLE).allows(declared), allowed)
        self.assertFalse(HedgePolicy(0).allows(route()))
        self.assertFalse(HedgePolicy(PERMILLE, (ROUTE,)).allows(route()))

    def test_without_enough_responses_nothing_is_hedged(self):
        policy = self.policy(responses=int(MIN_WEIGHT) - 1)
        self.assertIsNone(policy.delay_ms(ROUTE, POOL, 0))
        self.assertIsNone(policy.delay_ms("another", POOL, 0))

    def test_times_of_the_pool_stand_in_for_those_of_a_rare_route(self):
        """Guards against a large fleet in which no host ever hedges.

        Each host sees few requests of each route. What it knows of the route may only
        make the delay longer.
        """
        policy = self.policy()
        usual_ms = policy.delay_ms(ROUTE, POOL, 0)
        self.assertEqual(policy.delay_ms("rare", POOL, 0), usual_ms)
        self.assertIsNone(policy.delay_ms("rare", "other", 0))
        self.assertIsNone(policy.acquire("rare", POOL, 1_000, 0))
        policy.observe("rare", POOL, 900, now_ms=0)
        self.assertEqual(policy.delay_ms("rare", POOL, 0), usual_ms)
        self.assertIsNone(policy.acquire("rare", POOL, 500, 0))
        for _ in range(int(MIN_OWN_WEIGHT)):
            policy.observe("rare", POOL, 900, now_ms=0)
        self.assertGreaterEqual(policy.delay_ms("rare", POOL, 0), 900)

    def test_times_of_an_earlier_hour_do_not_count(self):
        """Guards against a delay from responses that are no longer typical."""
        policy = self.policy()
        self.assertIsNone(policy.delay_ms(ROUTE, POOL, 3_600_000))

    def test_budget_is_spent_by_own_requests_only_and_not_saved_up(self):
        """Guards against a quiet night that pays for a storm of hedges."""
        policy = self.policy(requests=100_000)
        found = [policy.acquire(ROUTE, POOL, 1_000, 0) for _ in range(20)]
        self.assertEqual(found.count(None), MAX_SAVED_HEDGES)
        self.assertIs(found[-1], HedgeRefusal.BUDGET)
        policy.refund()
        self.assertIsNone(policy.acquire(ROUTE, POOL, 1_000, 0))

    def test_request_that_can_not_end_in_time_is_not_hedged(self):
        found = self.policy().acquire(ROUTE, POOL, left_ms=20, now_ms=0)
        self.assertIs(found, HedgeRefusal.TOO_LATE)

    def test_pool_without_capacity_is_not_asked_again_at_once(self):
        """Guards against a saturated home that is kept busy by refusing hedges."""
        policy = self.policy()
        policy.on_refused(POOL, 0)
        found = policy.acquire(ROUTE, POOL, 1_000, REFUSED_PAUSE_MS - 1)
        self.assertIs(found, HedgeRefusal.PAUSED)
        self.assertIsNone(policy.acquire(ROUTE, "other", 1_000, 0))
        self.assertIsNone(policy.acquire(ROUTE, POOL, 1_000, REFUSED_PAUSE_MS))

    def test_number_of_routes_is_bounded(self):
        """Guards against memory that grows with each changed declaration."""
        policy = self.policy()
        for number in range(MAX_KEPT):
            policy.observe(f"route-{number}", f"pool-{number}", 40, now_ms=0)
        self.assertIsNone(policy.delay_ms(ROUTE, POOL, 0))


class HedgingLoadTests(unittest.TestCase):
    """Each load is played with hedges; pool, callers and home are simulated."""

    def play(self, rate_at=lambda now_ms: 300, duration_ms=20_000, **fields):
        result = Simulation(Mode.HEDGE, **fields).run(rate_at, duration_ms)
        hedges, requests = len(result.hedge_times_ms), len(result.durations_ms)
        self.assertLessEqual(hedges, PERMILLE * requests / 1_000)
        self.assertEqual(result.waits_caused, 0)
        return result

    def hedges_between(self, result, begin_ms, end_ms):
        return sum(begin_ms <= at_ms < end_ms for at_ms in result.hedge_times_ms)

    def test_burst_gets_no_hedges_while_requests_wait(self):
        """Guards against hedges that take the slots for which requests wait."""
        result = self.play(lambda now_ms: 1_500 if 9_000 < now_ms < 13_000 else 300)
        self.assertLess(self.hedges_between(result, 9_500, 13_000), 5)

    def test_requests_at_one_slow_upstream_are_served_by_others(self):
        def factor_at(upstream, now_ms):
            return 10.0 if upstream == 0 else 1.0

        found = self.play(factor_at=factor_at)
        alone = Simulation(Mode.NONE, factor_at=factor_at).run(lambda ms: 300, 20_000)
        self.assertLess(found.quantile_ms(0.99), alone.quantile_ms(0.99) / 2)

    def test_pool_that_turns_slow_as_a_whole_causes_no_storm(self):
        """Guards against hedges for all requests when nothing is faster elsewhere."""
        result = self.play(
            lambda now_ms: 200,
            duration_ms=40_000,
            factor_at=lambda upstream, now_ms: 3.0 if now_ms > 20_000 else 1.0,
        )
        turning = self.hedges_between(result, 20_000, 21_000)
        usual = self.hedges_between(result, 10_000, 20_000) / 10
        after = self.hedges_between(result, 25_000, 40_000) / 15
        self.assertLessEqual(turning, MAX_SAVED_HEDGES + PERMILLE * 200 / 1_000 + 1)
        self.assertLess(after, 2 * usual + 2)

    def test_saturated_pool_refuses_hedges(self):
        result = self.play(lambda now_ms: 1_100)
        self.assertLess(self.hedges_between(result, 1_000, 20_000), 10)

    def test_three_ways_at_two_slow_responses_in_a_hundred(self):
        """Shows what a hedge is worth: figures are in docs/design/hedging.md."""
        none, hedge, two = (
            Simulation(mode, slow_share=0.02).run(lambda now_ms: 300, 60_000)
            for mode in Mode
        )
        requests = len(none.durations_ms)
        self.assertGreater(none.quantile_ms(0.99), 600)
        self.assertLess(hedge.quantile_ms(0.99), 150)
        self.assertLess(hedge.quantile_ms(0.999), 300)
        self.assertLess(len(hedge.hedge_times_ms), 0.05 * requests)
        self.assertLess(hedge.work_ms, none.work_ms)
        self.assertGreater(two.work_ms, 1.4 * hedge.work_ms)
        self.assertGreater(two.waits_caused, 0)
