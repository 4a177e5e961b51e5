import doctest
import random
import unittest

from hypothesis import given
from hypothesis import strategies as st

from hemlockhoist.decisions import Granted, Outcome, OutcomeKind, Upstream
from hemlockhoist.decisions.scheduling import (
    ColdStartLimit,
    DeclaredSlotsTracker,
    PoolScheduler,
    Warmup,
    warmup,
)
from hemlockhoist.decisions.scheduling.declared_slots_upstream import (
    DeclaredSlotsUpstream,
)
from hemlockhoist.decisions.scheduling.pace import PoolPace
from hemlockhoist.decisions.scheduling.tests import builders as b
from hemlockhoist.declarations import Pool, PoolKind

COLD_MS = 3_000
LIMIT = ColdStartLimit(cold_ms=COLD_MS, requests_per_s=14.9)
SHORT_MS = 40
# The longest delay of a request between its grant and its arrival at an upstream.
MAX_DELAY_MS = warmup.WINDOW_MS - 1_000


def upstream(name, cold_until_ms=0, version=1):
    return Upstream(
        upstream_id=name,
        pool="assistant",
        version="v1",
        address="127.0.0.1:1",
        slot_count=4,
        cold_until_ms=cold_until_ms,
        listed_version=version,
    )


def scheduler(*upstreams, limit=LIMIT):
    pool = Pool(name="assistant", kind=PoolKind.MODEL, stable_version="")
    tracker = DeclaredSlotsTracker(warmup=Warmup(lambda: limit))
    made = PoolScheduler.from_config(pool, (), "i1", tracker=tracker)
    made.set_upstreams(upstreams, 0)
    return made


class LoadGenerator:
    """Sends short requests at a far higher rate than a cold upstream may get."""

    def __init__(self, sched):
        self.sched = sched
        self.sent = []
        self._ends = []

    def run(self, from_ms, until_ms, every_ms=5):
        """Send requests; ``sent`` gets ``(at_ms, upstream, is_cold)`` per grant."""
        for now_ms in range(from_ms, until_ms, every_ms):
            while self._ends and self._ends[0][0] <= now_ms:
                _, grant_id = self._ends.pop(0)
                outcome = Outcome(kind=OutcomeKind.SUCCESS, total_ms=SHORT_MS)
                self._take(self.sched.release(grant_id, outcome, now_ms), now_ms)
            self._take(self.sched.submit(b.request(now_ms=now_ms), now_ms), now_ms)
            self._take(self.sched.tick(now_ms), now_ms)

    def _take(self, decisions, now_ms):
        for decision in decisions:
            if isinstance(decision, Granted):
                grant = decision.grant
                self.sent.append((now_ms, grant.upstream_id, grant.is_cold))
                self._ends.append((now_ms + SHORT_MS, grant.grant_id))

    def count(self, name, from_ms, until_ms):
        """Return how many requests an upstream got in a time span."""
        return sum(
            item[1] == name and from_ms <= item[0] < until_ms for item in self.sent
        )

    def max_per_second(self, name, until_ms):
        """Return the most requests that an upstream got in any second until a time."""
        starts = [item[0] for item in self.sent if item[0] < until_ms]
        return max(self.count(name, at, min(at + 1_000, until_ms)) for at in starts)


class ColdTests(unittest.TestCase):
    def test_cold_upstream_stays_within_its_limit(self):
        """Guards against engines that crash again as they return from a crash.

        Engines that return hold no requests, so they are preferred and get the whole
        pool's requests.
        """
        load = LoadGenerator(scheduler(upstream("cold", COLD_MS), upstream("warm")))
        load.run(0, COLD_MS + 2_000)
        self.assertLessEqual(load.max_per_second("cold", COLD_MS), 12)
        self.assertGreater(load.count("cold", 0, 1_000), 8)
        self.assertGreater(load.count("warm", 0, 1_000), 30)
        self.assertGreater(load.count("cold", COLD_MS, COLD_MS + 1_000), 30)

    def test_grants_say_that_the_upstream_is_cold(self):
        load = LoadGenerator(scheduler(upstream("cold", COLD_MS), upstream("warm")))
        load.run(0, 500)
        cold_by_upstream = {(name, is_cold) for _, name, is_cold in load.sent}
        self.assertEqual(cold_by_upstream, {("cold", True), ("warm", False)})

    def test_upstream_that_turns_cold_has_its_last_second_counted(self):
        """Guards against granting the cold limit in addition to a busy second."""
        load = LoadGenerator(scheduler(upstream("u"), upstream("other")))
        load.run(0, 1_000)
        before = load.count("u", 0, 1_000)
        self.assertGreater(before, 20)
        load.sched.set_upstreams(
            [upstream("u", 1_000 + COLD_MS, version=2), upstream("other")], 1_000
        )
        load.run(1_000, 2_000)
        self.assertEqual(load.count("u", 1_000, 1_300), 0)

    def test_upstream_that_was_unreachable_is_assumed_cold(self):
        """Guards against a restarted upstream that the list shows as warm."""
        sched = scheduler(upstream("u"), upstream("other"))
        load = LoadGenerator(sched)
        refused = Outcome(kind=OutcomeKind.CONNECT_FAILED, total_ms=1)
        first = [sched.submit(b.request(), 0)[0].grant for _ in range(2)]
        for grant in first:
            if grant.upstream_id == "u":
                sched.release(grant.grant_id, refused, 1)
        load.run(600, 2_600)
        self.assertGreater(load.count("u", 600, 2_600), 4)
        self.assertLessEqual(load.max_per_second("u", 2_600), 12)

    def test_new_home_begins_as_if_the_limit_were_used(self):
        """Guards against two homes that each use the limit in one second."""
        sched = scheduler(upstream("cold", COLD_MS), upstream("warm"))
        sched.begin_recovery(0)
        sched.end_recovery(0)
        load = LoadGenerator(sched)
        load.run(0, 2_000)
        self.assertEqual(load.count("cold", 0, 1_300), 0)
        self.assertGreater(load.count("cold", 1_300, 2_000), 4)

    def test_host_that_decides_alone_leaves_cold_upstreams_to_the_home(self):
        """Guards against many isolated hosts that exceed the limit together."""
        sched = scheduler(upstream("cold", COLD_MS), upstream("warm"))
        sched.set_share(0.5 / 71)
        load = LoadGenerator(sched)
        load.run(0, 1_000)
        self.assertEqual(load.count("cold", 0, 1_000), 0)

    def test_service_without_a_limit_gets_all_its_slots(self):
        limit = ColdStartLimit(cold_ms=COLD_MS)
        sched = scheduler(upstream("cold", COLD_MS), upstream("warm"), limit=limit)
        load = LoadGenerator(sched)
        load.run(0, 1_000)
        self.assertGreater(load.count("cold", 0, 1_000), 30)

    def test_cold_engine_does_not_change_the_pace_of_warm_ones(self):
        """Guards against treating all engines as slow while a few warm up."""
        pool = PoolPace()
        warm, other = (DeclaredSlotsUpstream(upstream("u"), pool) for _ in range(2))
        for _ in range(20):
            warm.pace.observe_token(2.0)
        warm.set_cold(True)
        for _ in range(20):
            warm.pace.observe_token(20.0)
        self.assertGreater(warm.pace.token_ms, 15.0)
        self.assertAlmostEqual(other.pace.token_ms, 2.0)
        warm.set_cold(False)
        self.assertAlmostEqual(warm.pace.token_ms, 2.0)

    @given(st.integers(0, 1_000))
    def test_delayed_requests_stay_within_the_limit(self, seed):
        """Requests with varying delays arrive in bursts."""
        rng = random.Random(seed)
        made = Warmup(lambda: LIMIT)
        made.assume_cold("u", 0)
        arrivals = []
        for now_ms in range(0, COLD_MS, 7):
            if made.allows("u", now_ms):
                made.record_grant("u", now_ms)
                arrivals.append(now_ms + rng.randrange(MAX_DELAY_MS))
        for start in arrivals:
            inside = sum(start <= at <= start + 1_000 for at in arrivals)
            self.assertLessEqual(inside, LIMIT.requests_per_s)

    def test_examples_run(self):
        self.assertEqual(doctest.testmod(warmup).failed, 0)
