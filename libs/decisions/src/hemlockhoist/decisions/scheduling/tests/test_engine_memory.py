import doctest
import unittest

from hypothesis import given
from hypothesis import strategies as st

from hemlockhoist.decisions import Granted, Outcome, OutcomeKind, Upstream
from hemlockhoist.decisions.scheduling import (
    DeclaredSlotsTracker,
    PoolScheduler,
    engine_memory,
)
from hemlockhoist.decisions.scheduling.engine_memory import ABANDONED_MS
from hemlockhoist.decisions.scheduling.tests import builders as b
from hemlockhoist.declarations import Pool, PoolKind

CAPACITY_TOKENS = 10_000
STEP_MS = 10
ABANDONED = (
    OutcomeKind.BROKE_OFF,
    OutcomeKind.CANCELLED,
    OutcomeKind.LINK_LOST,
    OutcomeKind.TIMEOUT,
)


class EngineMemoryTests(unittest.TestCase):
    def setUp(self):
        pool = Pool(name="dossiers", kind=PoolKind.MODEL, stable_version="")
        tracker = DeclaredSlotsTracker(CAPACITY_TOKENS)
        self.sched = PoolScheduler.from_config(pool, (), "i1", tracker=tracker)
        self.set_listed("u1")
        self.now_ms = 0
        self.held = {}
        # Tokens, and when they are free, of requests that were given up.
        self.abandoned = []

    def set_listed(self, *names):
        listed = [
            Upstream(
                upstream_id=name,
                slot_count=4,
                pool="dossiers",
                version="v1",
                address="127.0.0.1:1",
            )
            for name in names
        ]
        self.sched.set_upstreams(listed, 0)

    def take(self, decisions):
        granted = [item for item in decisions if isinstance(item, Granted)]
        self.held |= {item.grant.grant_id: item for item in granted}
        return [item.grant.upstream_id for item in granted]

    def send(self, prompt_tokens, output_tokens=0):
        """Submit a request; return the upstreams of what was granted by that."""
        request = b.request(
            now_ms=self.now_ms,
            prompt_tokens=prompt_tokens,
            output_tokens=output_tokens,
        )
        return self.take(self.sched.submit(request, self.now_ms))

    def end(self, kind=OutcomeKind.SUCCESS):
        """End the oldest grant; return the upstreams of what was granted by that."""
        grant_id = next(iter(self.held))
        request = self.held.pop(grant_id).request
        if kind in ABANDONED:
            tokens = request.prompt_tokens + request.output_tokens
            self.abandoned.append((tokens, self.now_ms + ABANDONED_MS))
        outcome = Outcome(kind=kind, total_ms=1)
        return self.take(self.sched.release(grant_id, outcome, self.now_ms))

    def tokens(self):
        """Return the tokens of each request that takes memory."""
        requests = [item.request for item in self.held.values()]
        held = [item.prompt_tokens + item.output_tokens for item in requests]
        return held + [
            tokens for tokens, end_ms in self.abandoned if end_ms > self.now_ms
        ]

    def test_request_waits_until_the_memory_of_an_engine_holds_it(self):
        """Guards against an engine that crashes under more than its memory holds."""
        self.assertEqual(self.send(6_000, 1_000), ["u1"])
        self.assertEqual(self.send(2_000, 1_001), [])
        self.assertEqual(self.end(), ["u1"])

    def test_request_goes_to_another_engine_with_memory(self):
        self.set_listed("u1", "u2")
        placed = [*self.send(6_000), *self.send(6_000)]
        self.assertEqual(sorted(placed), ["u1", "u2"])

    def test_request_longer_than_the_memory_runs_alone(self):
        """Guards against a request that waits for an engine that does not exist."""
        self.assertEqual(self.send(CAPACITY_TOKENS + 1), ["u1"])
        self.assertEqual(self.send(1), [])
        self.assertEqual(self.end(), ["u1"])

    def test_request_that_was_given_up_takes_memory_for_a_moment(self):
        """Guards against a grant while the engine still holds what its caller left."""
        self.send(5_000)
        self.send(4_000)
        self.end(OutcomeKind.CANCELLED)
        self.assertEqual(self.send(3_000), [])
        self.now_ms += ABANDONED_MS
        self.assertEqual(self.take(self.sched.tick(self.now_ms)), ["u1"])

    def test_no_request_joins_what_was_given_up_in_a_full_memory(self):
        """Guards against an engine without grants that still holds long prompts."""
        self.send(9_000)
        self.end(OutcomeKind.CANCELLED)
        self.assertEqual(self.send(3_000), [])
        self.now_ms += ABANDONED_MS
        self.assertEqual(self.take(self.sched.tick(self.now_ms)), ["u1"])

    @given(
        st.lists(
            st.one_of(st.integers(1, 12_000), st.sampled_from(tuple(OutcomeKind))),
            max_size=30,
        )
    )
    def test_tokens_in_flight_never_exceed_the_memory(self, steps):
        self.setUp()
        for step in steps:
            self.now_ms += STEP_MS
            if isinstance(step, int):
                self.send(step)
            elif self.held:
                self.end(step)
            if len(self.tokens()) > 1:
                self.assertLessEqual(sum(self.tokens()), CAPACITY_TOKENS)

    def test_examples_run(self):
        self.assertEqual(doctest.testmod(engine_memory).failed, 0)
