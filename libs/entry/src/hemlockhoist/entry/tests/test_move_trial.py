"""Simulation of the requests that a new version gets during an ordered move."""

import heapq
import itertools
import random
import unittest

from hemlockhoist.base import InvariantLog
from hemlockhoist.decisions import Outcome, OutcomeKind, WorkRequest
from hemlockhoist.decisions.versions import (
    MoveController,
    MoveRequest,
    MoveState,
    start_move,
)
from hemlockhoist.declarations import Pool, PoolKind
from hemlockhoist.entry.moves import MOVED_FRACTION, trial_bound
from hemlockhoist.entry.process import MOVE_RULES
from hemlockhoist.entry.settings import FleetBounds

BOUNDS = FleetBounds()
TICK_MS = 200
ORDER_MS = 60_000
# Routes of a model pool with their requests per second, as on a small current site.
ROUTES = {"conflict-report": 8.65, "access-summary": 6.2, "hall-faq": 10.4}
MEDIAN_MS = 900
SEEDS = range(4)


class SimulatedVersions:
    """Simulated responses of the versions; the new version may be bad."""

    def __init__(self, rng, is_bad=lambda route, now_ms: False, failure_fraction=0.4):
        self._rng = rng
        self._is_bad = is_bad
        self._failure_fraction = failure_fraction

    def outcome(self, route, version, now_ms):
        total_ms = int(self._rng.lognormvariate(0, 0.5) * MEDIAN_MS)
        is_bad = version == "v2" and self._is_bad(route, now_ms)
        fails = is_bad and self._rng.random() < self._failure_fraction
        kind = OutcomeKind.FAILED if fails else OutcomeKind.SUCCESS
        return Outcome(
            kind=kind,
            first_token_ms=total_ms // 3,
            total_ms=total_ms,
            output_tokens=20,
        )


class MoveSimulation:
    """Simulation of one ordered move on a virtual clock.

    Attributes
    ==========
    new_count, total_count : int
        Number of requests sent to the new version, and of all requests.
    """

    def __init__(self, simulated_versions, seed):
        self._versions = simulated_versions
        self._rng = random.Random(seed)
        self._events = []
        self._numbers = itertools.count()
        self.new_count = self.total_count = 0
        pool = Pool(
            name="engines",
            kind=PoolKind.MODEL,
            stable_version="",
            version_rules=MOVE_RULES,
        )
        order = MoveRequest(
            move_id="m1",
            pool="engines",
            from_version="v1",
            to_version="v2",
            moved_by_unix_ms=int(MOVED_FRACTION * ORDER_MS),
            reason="ordered",
            author="operator",
        )
        self.controller = MoveController.from_config(
            pool,
            start_move(None, order, 0),
            0,
            0,
            InvariantLog(fatal=True),
            trial_bound(BOUNDS),
            watch_ms=0,
        )

    def _schedule(self, now_ms, step, *args):
        heapq.heappush(self._events, (now_ms, next(self._numbers), step, args))

    def simulate(self):
        """Simulate the whole duration of the order."""
        for route in ROUTES:
            self._schedule(0, self._arrive, route)
        for at_ms in range(0, ORDER_MS, TICK_MS):
            self._schedule(at_ms, self._tick)
        while self._events:
            now_ms, _, step, args = heapq.heappop(self._events)
            if now_ms <= ORDER_MS:
                step(int(now_ms), *args)
        return self

    def _tick(self, now_ms):
        self.controller.tick(now_ms)
        wanted = self.controller.wanted_row(now_ms, fencing=1)
        if wanted is not None:
            self.controller.observe_row(wanted, now_ms)

    def _arrive(self, now_ms, route):
        interval_ms = 1_000 * self._rng.expovariate(ROUTES[route])
        self._schedule(now_ms + interval_ms, self._arrive, route)
        self.total_count += 1
        request = WorkRequest(
            request_id=f"r{self.total_count}",
            route=route,
            customer="c",
            tier_rank=0,
            deadline_ms=now_ms + 8_000,
            first_token_by_ms=now_ms + 1_000,
            idempotent=True,
        )
        version = self.controller.candidates(request, ("v1", "v2"), now_ms)[0]
        self.new_count += version == "v2"
        self.controller.on_grant(request, version, now_ms, "u-" + version)
        outcome = self._versions.outcome(route, version, now_ms)
        self._schedule(now_ms + outcome.total_ms, self._end, request, version, outcome)

    def _end(self, now_ms, request, version, outcome):
        self.controller.on_outcome(request, version, outcome, now_ms, "u-" + version)

    @property
    def state(self):
        """The state of the move."""
        return self.controller.row.state


class MoveTrialTests(unittest.TestCase):
    def simulate(self, is_bad, seed):
        return MoveSimulation(
            SimulatedVersions(random.Random(seed), is_bad), seed
        ).simulate()

    def check_rolled_back(self, is_bad):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                trial = self.simulate(is_bad, seed)
                self.assertIs(trial.state, MoveState.ROLLED_BACK)
                allowed = (
                    BOUNDS.trial_share * trial.total_count + BOUNDS.trial_tolerance
                )
                self.assertLessEqual(trial.new_count, allowed)

    def test_version_bad_from_the_start_is_rolled_back(self):
        self.check_rolled_back(lambda route, now_ms: True)

    def test_version_bad_on_one_route_is_rolled_back(self):
        self.check_rolled_back(lambda route, now_ms: route == "conflict-report")

    def test_version_that_turns_bad_after_widening_is_rolled_back(self):
        """Guards against widening the share of a version before it is proven.

        The version seems good at first, then four of ten requests fail on it. All its
        requests count, including those before it turned bad: a share that was widened
        by then exceeds the bound before the first failure.
        """
        self.check_rolled_back(lambda route, now_ms: now_ms > 0.4 * ORDER_MS)

    def test_move_to_a_good_version_finishes_in_time(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                trial = self.simulate(lambda route, now_ms: False, seed)
                self.assertIs(trial.state, MoveState.FINISHED)
