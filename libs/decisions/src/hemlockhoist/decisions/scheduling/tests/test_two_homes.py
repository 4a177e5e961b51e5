"""Bounds on upstreams over all hosts, while two homes grant at the same time."""

import unittest

from hemlockhoist.decisions import Granted, Outcome, OutcomeKind
from hemlockhoist.decisions.limits.retry_limiter import OVERLAP_MS
from hemlockhoist.decisions.scheduling.brittle_upstreams import TAKEOVER_MS
from hemlockhoist.decisions.scheduling.tests import builders as b
from hemlockhoist.decisions.scheduling.tests import (
    test_brittle_upstreams,
    test_rate_limits,
    test_warmup,
)

TAKEOVER_AT_MS = 5_000
UNTIL_MS = 9_000
LIMIT_PER_S = 3.0


class TwoHomesTests(unittest.TestCase):
    """In each, a home goes on for ``OVERLAP_MS`` after another has taken over."""

    def run_both(self, first, second, every_ms=20):
        """Let both assign all that they may; return the times of their grants."""
        second.begin_recovery(TAKEOVER_AT_MS)
        second.end_recovery(TAKEOVER_AT_MS)
        granted_ms = []
        for now_ms in range(0, UNTIL_MS, every_ms):
            homes = [first] if now_ms < TAKEOVER_AT_MS + OVERLAP_MS else []
            if now_ms >= TAKEOVER_AT_MS:
                homes.append(second)
            for home in homes:
                decisions = home.submit(b.request(now_ms=now_ms), now_ms)
                for item in [*decisions, *home.tick(now_ms)]:
                    if isinstance(item, Granted):
                        granted_ms.append(now_ms)
                        served = Outcome(kind=OutcomeKind.SUCCESS, total_ms=10)
                        home.release(item.grant.grant_id, served, now_ms)
        return granted_ms

    def test_advertised_limit_holds_over_both(self):
        """Guards against an upstream in need that gets its limit from each home."""
        homes = [test_rate_limits.scheduler("u1") for _ in range(2)]
        for home in homes:
            home.observe_limit("u1", LIMIT_PER_S, 0, 0)
        granted_ms = self.run_both(*homes)
        busiest = test_rate_limits.busiest_window(granted_ms)
        self.assertLessEqual(busiest, test_rate_limits.tolerated(LIMIT_PER_S))
        self.assertGreater(busiest, LIMIT_PER_S)

    def test_cold_upstream_gets_its_rate_from_one_of_them(self):
        """Guards against an upstream that crashes as two homes fill it while cold."""
        cold = test_warmup.upstream("cold", UNTIL_MS)
        homes = [test_warmup.scheduler(cold) for _ in range(2)]
        granted_ms = self.run_both(*homes)
        busiest = max(
            sum(at <= other < at + 1_000 for other in granted_ms) for at in granted_ms
        )
        self.assertLessEqual(busiest, test_warmup.LIMIT.requests_per_s)
        self.assertGreater(busiest, 4)

    def test_brittle_upstream_is_not_filled_by_both(self):
        """Guards against rejections that end an upstream, as two homes fill its slots."""
        first, second = (test_rate_limits.scheduler("u1") for _ in range(2))
        tolerated = 2
        for home in (first, second):
            home.observe_brittle("u1", float(tolerated), 0, 0)
        second.begin_recovery(0)
        second.end_recovery(0)
        granted = [
            decision
            for home in (first, second)
            for _ in range(2 * test_brittle_upstreams.SLOTS)
            for decision in home.submit(b.request(), 0)
            if isinstance(decision, Granted)
        ]
        excess = len(granted) - test_brittle_upstreams.SLOTS
        self.assertLessEqual(excess, tolerated)
        self.assertGreaterEqual(TAKEOVER_MS, OVERLAP_MS)


if __name__ == "__main__":
    unittest.main()
