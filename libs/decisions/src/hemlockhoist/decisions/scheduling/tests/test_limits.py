import unittest

from hemlockhoist.decisions import Outcome, OutcomeKind
from hemlockhoist.decisions.scheduling.limits import (
    ConcurrencyLimit,
    FirstTokenBaseline,
)
from hemlockhoist.decisions.scheduling.tests import builders as b

HOLD_MS = 5_000


class _Engine:
    """An engine that queues requests beyond ``knee``."""

    def __init__(self, knee, speed=1.0):
        self.knee = knee
        self.speed = speed

    def first_token_ms(self, in_flight):
        queued = max(0, in_flight - self.knee)
        return self.speed * (60 + 150 * queued)


def _converge(engine, limit, baseline, start_ms=0):
    """Keep the engine at the limit, feed back its latencies, and return the limit."""
    for now_ms in range(start_ms, start_ms + 100_000, 50):
        held = limit.slots
        excess_ms = baseline.congestion(200, engine.first_token_ms(held))
        limit.observe(excess_ms / HOLD_MS, now_ms - 1, held, now_ms)
    return limit.slots


class PlainServiceTests(unittest.TestCase):
    def test_a_service_without_tokens_exceeds_the_initial_limit(self):
        """Guards against a limit that never grows without first tokens.

        Calls of a plain service report no first token. With 40 calls at a time, all
        answered at the same speed, the limit reaches the declared bound of 32 instead
        of staying at its initial value.
        """
        sched = b.scheduler(slots=32, max_queued=100)
        answered = Outcome(kind=OutcomeKind.SUCCESS, total_ms=100)
        open_grants = []
        for now_ms in range(0, 20_000, 100):
            decisions = []
            for grant in open_grants:
                decisions += sched.release(grant.grant_id, answered, now_ms)
            while sched.queued + sched.in_flight < 40:
                call = b.request(now_ms=now_ms, prompt_tokens=0, output_tokens=0)
                decisions += sched.submit(call, now_ms)
            open_grants = [d.grant for d in decisions if hasattr(d, "grant")]
        self.assertEqual(sched.in_flight, 32)


class ConcurrencyLimitTests(unittest.TestCase):
    def test_finds_the_knee_of_different_generations(self):
        """Engines with batches of 16 and of 48 get limits close to these."""
        for knee in (16, 48):
            with self.subTest(knee=knee):
                found = _converge(
                    _Engine(knee), ConcurrencyLimit(64), FirstTokenBaseline()
                )
                self.assertGreaterEqual(found, 0.8 * knee)
                self.assertLessEqual(found, knee + 4)

    def test_stays_below_the_declared_bound(self):
        """The declared bound of a pool holds though the engine could serve more."""
        found = _converge(_Engine(48), ConcurrencyLimit(20), FirstTokenBaseline())
        self.assertEqual(found, 20)

    def test_follows_an_engine_whose_capacity_falls(self):
        """The knee falls from 48 to 16 under load, and the limit follows."""
        engine, limit = _Engine(48), ConcurrencyLimit(64)
        baseline = FirstTokenBaseline()
        _converge(engine, limit, baseline)
        engine.knee = 16
        self.assertLessEqual(_converge(engine, limit, baseline, 100_000), 20)

    def test_does_not_overshoot_on_delayed_answers(self):
        """Guards against a limit that grows on answers from before the increase.

        Answers arrive five seconds after their grants. Each shows good latency at the
        few requests in flight at that time. The limit must not grow far beyond the knee
        before the first congested answer arrives.
        """
        engine, limit = _Engine(24), ConcurrencyLimit(64)
        baseline, in_flight, highest = FirstTokenBaseline(), [], 0
        for now_ms in range(0, 60_000, 50):
            in_flight.append((now_ms + 5_000, now_ms, limit.slots))
            while in_flight[0][0] <= now_ms:
                _, granted_ms, held = in_flight.pop(0)
                excess_ms = baseline.congestion(200, engine.first_token_ms(held))
                limit.observe(excess_ms / HOLD_MS, granted_ms, held, now_ms)
            highest = max(highest, limit.slots)
        self.assertLessEqual(highest, 40)
        self.assertGreaterEqual(limit.slots, 18)

    def test_an_idle_upstream_proves_nothing(self):
        """Good latency with few requests in flight does not raise the limit."""
        limit = ConcurrencyLimit(64)
        before = limit.slots
        for step in range(100):
            limit.observe(0.0, step, 2, step)
        self.assertEqual(limit.slots, before)
