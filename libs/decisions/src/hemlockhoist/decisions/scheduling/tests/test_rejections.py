import collections
import random
import unittest

from hemlockhoist.decisions import Granted, Outcome, OutcomeKind
from hemlockhoist.decisions.scheduling.tests import builders as b
from hemlockhoist.decisions.scheduling.tests.test_rate_limits import (
    scheduler,
    upstream,
)

NAMES = tuple(f"u{number}" for number in range(6))
EVERY_MS = 50
RUN_MS = 12_000
REJECTED_AFTER_MS = 2
SERVED_AFTER_MS = 100
REJECTED = Outcome(kind=OutcomeKind.FAILED, total_ms=REJECTED_AFTER_MS, is_not_run=True)
SERVED = Outcome(kind=OutcomeKind.SUCCESS, first_token_ms=20, total_ms=SERVED_AFTER_MS)


class RejectingUpstreamsTests(unittest.TestCase):
    """Plays a steady load, of which some upstreams turn nine in ten requests away."""

    def play(self, rejecting, is_not_run=True):
        """Return how many requests were served, rejected and refused."""
        self.sched, self.counts = scheduler(*NAMES), collections.Counter()
        rng, ends = random.Random(7), []
        rejected = Outcome(
            kind=OutcomeKind.FAILED, total_ms=REJECTED_AFTER_MS, is_not_run=is_not_run
        )
        for now_ms in range(0, RUN_MS, REJECTED_AFTER_MS):
            due = [item for item in ends if item[0] <= now_ms]
            ends = [item for item in ends if item[0] > now_ms]
            decisions = []
            for _, grant_id, outcome in due:
                decisions += self.sched.release(grant_id, outcome, now_ms)
            if now_ms % EVERY_MS == 0:
                request = b.request(now_ms=now_ms, entry_host="h1")
                decisions += self.sched.submit(request, now_ms)
            decisions += self.sched.tick(now_ms)
            for decision in decisions:
                if not isinstance(decision, Granted):
                    self.counts["refused"] += 1
                    continue
                grant = decision.grant
                is_bad = grant.upstream_id in rejecting and rng.random() < 0.9
                outcome = rejected if is_bad else SERVED
                self.counts["rejected" if is_bad else "served"] += 1
                ends.append((now_ms + outcome.total_ms, grant.grant_id, outcome))
        return self.counts

    def test_first_attempts_leave_upstreams_that_shed_to_single_requests(self):
        """Guards against a limit on retries that is spent where others had room."""
        before = self.play(NAMES[:5], is_not_run=False)["rejected"]
        counts = self.play(NAMES[:5])
        self.assertLess(counts["rejected"], before / 2)
        self.assertGreater(counts["rejected"], 3)
        self.assertEqual(counts["refused"], 0)

    def test_requests_do_not_wait_where_all_upstreams_shed(self):
        """Guards against requests that wait for upstreams of which none is better."""
        counts = self.play(NAMES)
        self.assertEqual(counts["refused"], 0)
        self.assertGreaterEqual(sum(counts.values()), RUN_MS // EVERY_MS - 1)

    def test_upstream_that_takes_requests_again_gets_its_part(self):
        """Guards against upstreams that stay suspended after they have recovered."""
        self.sched = scheduler("u1", "u2")
        for now_ms in (0, 10):
            for _ in range(2):
                (decision,) = self.sched.submit(b.request(now_ms=now_ms), now_ms)
                is_first = decision.grant.upstream_id == "u1"
                outcome = REJECTED if is_first else SERVED
                self.sched.release(decision.grant.grant_id, outcome, now_ms)
        self.assertFalse(self.sched.is_suspended("u2", 20))

    def test_one_rejection_does_not_suspend(self):
        """Guards against upstreams that are set aside though they serve most requests."""
        self.sched = scheduler("u1", "u2")
        (decision,) = self.sched.submit(b.request(), 0)
        self.sched.release(decision.grant.grant_id, REJECTED, 2)
        self.assertFalse(self.sched.is_suspended(decision.grant.upstream_id, 2))

    def test_half_of_the_upstreams_are_suspended_at_most(self):
        """Guards against a pool in which nothing is sent as all upstreams shed."""
        self.play(NAMES)
        suspended = [name for name in NAMES if self.sched.is_suspended(name, RUN_MS)]
        self.assertLessEqual(len(suspended), len(NAMES) // 2)

    def test_restarted_upstream_is_not_suspended(self):
        """Guards against a fresh process that pays for its predecessor's rejections."""
        self.play(NAMES[:3])
        fresh = [upstream(name, started_unix_ms=2) for name in NAMES]
        self.sched.set_upstreams(fresh, RUN_MS)
        for name in NAMES:
            self.assertFalse(self.sched.is_suspended(name, RUN_MS))


if __name__ == "__main__":
    unittest.main()
