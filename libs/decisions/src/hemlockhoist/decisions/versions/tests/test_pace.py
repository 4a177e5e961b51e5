"""A new version that generates several times slower, on routes with little traffic."""

import heapq
import random
import unittest

from hemlockhoist.base import InvariantLog
from hemlockhoist.decisions.versions import MoveController
from hemlockhoist.decisions.versions.events import TakenBack
from hemlockhoist.decisions.versions.tests.fakes import UNIX_MS, new_row
from hemlockhoist.decisions.work import Outcome, OutcomeKind, WorkRequest
from hemlockhoist.declarations import model

# Requests per second and tokens of the answers of each route.
ROUTES = {"clashes": (8.7, 120), "summary": (6.2, 54), "questions": (10.4, 174)}
UPSTREAMS = 6
TOKEN_MS = 2.6
FIRST_TOKEN_MS = 60
MOVE_S = 15
POOL = model.Pool(
    name="assistant",
    kind=model.PoolKind.MODEL,
    stable_version="v1",
    version_rules=model.VersionRules(
        first_share_permille=100, unproven_share_permille=300
    ),
)


class Play:
    """Grants and answers of one pool during a move, on a clock of their own.

    Parameters
    ==========
    seed : int
    slowness : float
        How many times the new version is slower between tokens.
    """

    def __init__(self, seed, slowness):
        self.draw = random.Random(seed)
        self.slowness = slowness
        self.row = new_row(MOVE_S * 1000)
        self.controller = MoveController.from_config(
            POOL, self.row, 0, UNIX_MS, InvariantLog(fatal=True)
        )
        self.answers = []
        self.in_flight = {"v1": 0, "v2": 0}
        self.slow_answers_ms = []
        self.taken_back_ms = None
        self.number = 0

    def run(self, seconds):
        """Play until the new version is taken back, or for a time."""
        due = [(self.gap_ms(route), route) for route in ROUTES]
        heapq.heapify(due)
        while self.taken_back_ms is None and due[0][0] < seconds * 1000:
            now_ms, route = due[0]
            while self.answers and self.answers[0][0] <= now_ms:
                self.end_one()
            heapq.heapreplace(due, (now_ms + self.gap_ms(route), route))
            self.send(route, int(now_ms))
        return self

    def gap_ms(self, route):
        return 1000 * self.draw.expovariate(ROUTES[route][0])

    def send(self, route, now_ms):
        self.number += 1
        request = WorkRequest(
            request_id=f"r{self.number}",
            route=route,
            customer="c1",
            tier_rank=0,
            entry_host="h1",
            deadline_ms=now_ms + 60_000,
            first_token_by_ms=now_ms + 60_000,
        )
        chosen = self.controller.candidates(request, ("v1", "v2"), now_ms)
        version = chosen[0]
        upstream_id = f"{version}-{self.draw.randrange(UPSTREAMS)}"
        self.controller.on_grant(request, version, now_ms, upstream_id)
        self.in_flight[version] += 1
        tokens = max(2, int(ROUTES[route][1] * self.draw.lognormvariate(0, 0.4)))
        # Engines batch: more requests beside it make each token slower.
        beside = 1 + 0.15 * self.in_flight[version] / UPSTREAMS
        pace_ms = TOKEN_MS * beside * self.draw.lognormvariate(0, 0.2)
        if version == "v2":
            pace_ms *= self.slowness
        first_ms = int(FIRST_TOKEN_MS * self.draw.lognormvariate(0, 0.6))
        total_ms = int(first_ms + pace_ms * tokens)
        outcome = Outcome(
            kind=OutcomeKind.SUCCESS,
            first_token_ms=first_ms,
            total_ms=total_ms,
            output_tokens=tokens,
        )
        entry = (now_ms + total_ms, self.number, request, version, outcome, upstream_id)
        heapq.heappush(self.answers, entry)

    def end_one(self):
        now_ms, _, request, version, outcome, upstream_id = heapq.heappop(self.answers)
        self.in_flight[version] -= 1
        if version == "v2" and self.slowness > 1:
            self.slow_answers_ms.append(now_ms)
        self.controller.on_outcome(request, version, outcome, now_ms, upstream_id)
        events = self.controller.tick(now_ms)
        if any(isinstance(event, TakenBack) for event in events):
            self.taken_back_ms = now_ms


class PaceTests(unittest.TestCase):
    def test_slower_version_is_found_before_fifty_slow_answers(self):
        """Guards against evidence that each route has to collect for itself."""
        for seed in range(20):
            play = Play(seed, slowness=2.5).run(60)
            with self.subTest(seed=seed):
                self.assertIsNotNone(play.taken_back_ms)
                self.assertLess(len(play.slow_answers_ms), 50)

    def test_equal_version_is_not_taken_back(self):
        """Guards against noise of the pace that is taken for a slow version."""
        for seed in range(30):
            with self.subTest(seed=seed):
                self.assertIsNone(Play(seed, slowness=1.0).run(40).taken_back_ms)
