"""Plays callers and engines of unlike speed against a scheduler, without a network."""

import collections
import heapq
import itertools

from hemlockhoist.base import InvariantLog, Property
from hemlockhoist.decisions import Granted, Outcome, OutcomeKind, Upstream
from hemlockhoist.decisions.scheduling import Experiments, PoolScheduler
from hemlockhoist.decisions.scheduling.tests import builders as b
from hemlockhoist.declarations import Pool, PoolKind

TICK_MS = 50
BASE_TOKENS = 10
PROMPT_TOKEN = 0.0075
RETRY_WAIT_FRACTION = 1 / 3


class RequestClass:
    """Requests that are alike.

    Parameters
    ==========
    name : str
    rank, prompt_tokens, output_tokens : int
    target_ms, deadline_ms : int
    patience_ms : int
        After which a caller leaves that got nothing.
    max_gap_ms : int
    """

    def __init__(
        self,
        name,
        rank,
        prompt_tokens,
        output_tokens,
        target_ms=600,
        deadline_ms=10_000,
        patience_ms=2_400,
        max_gap_ms=300,
    ):
        self.name = name
        self.rank = rank
        self.prompt_tokens = prompt_tokens
        self.output_tokens = output_tokens
        self.target_ms = target_ms
        self.deadline_ms = deadline_ms
        self.patience_ms = patience_ms
        self.max_gap_ms = max_gap_ms


BULLETIN = RequestClass("bulletin", 0, 6_000, 380)
NOTICE = RequestClass("notice", 1, 600, 290)
TAG = RequestClass("tag", 2, 1_200, 20, target_ms=1_000, deadline_ms=2_500)


class _Caller:
    def __init__(self, kind, number, at_ms):
        self.kind = kind
        self.number = number
        self.at_ms = at_ms
        self.tries = 0
        self.asked_ms = at_ms
        self.grant = None
        self.answered = False


class _Engine:
    def __init__(self, token_ms):
        self.token_ms = token_ms
        self.prompts_done_ms = 0.0
        self.running = {}

    def begin(self, caller, now_ms):
        """Return when its first and its last event come."""
        prompt_ms = PROMPT_TOKEN * caller.kind.prompt_tokens * self.token_ms
        start_ms = max(now_ms, self.prompts_done_ms)
        self.prompts_done_ms = start_ms + prompt_ms
        first_ms = self.prompts_done_ms + BASE_TOKENS * self.token_ms
        return first_ms, first_ms + caller.kind.output_tokens * self.token_ms


class SchedulerSimulation:
    """Runs arrivals to their ends.

    Parameters
    ==========
    tokens_ms : dict of str to float
        The time of a token on each engine.
    slots : int
        Of each engine.
    experiments : Experiments, optional

    Attributes
    ==========
    ends : dict of str to Counter
        By kind: ``in_time``, ``late``, ``refused``, ``left`` (unanswered).
    placed : dict of str to Counter
        By kind: the engines.
    """

    def __init__(self, tokens_ms, slots=4, experiments=None):
        experiments = experiments or Experiments()
        pool = Pool(name="dossiers", kind=PoolKind.MODEL, stable_version="")
        self.invariants = InvariantLog(fatal=True)
        self.sched = PoolScheduler.from_config(
            pool,
            (),
            "i1",
            invariants=self.invariants,
            tracker=experiments.declared_slots_tracker(),
            experiments=experiments,
        )
        self.engines = {name: _Engine(ms) for name, ms in tokens_ms.items()}
        self.ends = collections.defaultdict(collections.Counter)
        self.placed = collections.defaultdict(collections.Counter)
        self._heap = []
        self._order = itertools.count()
        self._callers = {}
        self._numbers = itertools.count()
        upstreams = [
            Upstream(
                upstream_id=name,
                pool="dossiers",
                version="v1",
                address="127.0.0.1:1",
                slots=slots,
            )
            for name in tokens_ms
        ]
        self.sched.set_upstreams(upstreams, 0)

    def send(self, kind, at_ms):
        """Let a caller come."""
        caller = _Caller(kind, next(self._numbers), at_ms)
        self._at(at_ms, self._ask, caller)

    def send_each(self, kind, every_ms, from_ms, until_ms):
        """Let callers come at a steady rate."""
        count = int((until_ms - from_ms) / every_ms)
        for number in range(count):
            self.send(kind, int(from_ms + number * every_ms))

    def run(self, until_ms):
        """Play; return ``ends``."""
        for at_ms in range(0, until_ms, TICK_MS):
            self._at(at_ms, self._tick)
        while self._heap and self._heap[0][0] <= until_ms:
            now_ms, _, call, items = heapq.heappop(self._heap)
            call(now_ms, *items)
        return self.ends

    @property
    def order_checks(self):
        """How often the order of tiers was checked."""
        return self.invariants.checks[Property.TIER_ORDER]

    def _at(self, at_ms, call, *items):
        heapq.heappush(self._heap, (int(at_ms), next(self._order), call, items))

    def _tick(self, now_ms):
        self._take(self.sched.tick(now_ms), now_ms)

    def _ask(self, now_ms, caller):
        caller.tries += 1
        caller.asked_ms = now_ms
        kind = caller.kind
        request = b.request(
            rank=kind.rank,
            now_ms=now_ms,
            route=kind.name,
            prompt_tokens=kind.prompt_tokens + caller.number,
            output_tokens=kind.output_tokens,
            deadline_ms=caller.at_ms + kind.deadline_ms,
            first_token_by_ms=now_ms + kind.target_ms,
            waits_until_ms=now_ms + kind.patience_ms,
            max_gap_ms=kind.max_gap_ms,
        )
        self._callers[request.request_id] = caller
        waits_until_ms = min(request.waits_until_ms, request.deadline_ms)
        self._at(waits_until_ms, self._leave, caller, request.request_id, caller.tries)
        self._take(self.sched.submit(request, now_ms), now_ms)

    def _leave(self, now_ms, caller, request_id, tries):
        if caller.answered or caller.tries != tries or caller.grant == "refused":
            return
        caller.answered = True
        self.ends[caller.kind.name]["left"] += 1
        self._take(self.sched.cancel(request_id, now_ms), now_ms)

    def _take(self, decisions, now_ms):
        for decision in decisions:
            caller = self._callers[decision.request.request_id]
            if isinstance(decision, Granted):
                self._begin(caller, decision.grant, now_ms)
            else:
                self._refuse(caller, decision.retry_after_ms, now_ms)

    def _begin(self, caller, grant, now_ms):
        caller.grant = grant
        self.placed[caller.kind.name][grant.upstream_id] += 1
        first_ms, end_ms = self.engines[grant.upstream_id].begin(caller, now_ms)
        self._at(first_ms, self._first, caller, grant, now_ms)
        self._at(end_ms, self._end, caller, grant, now_ms, first_ms)

    def _first(self, now_ms, caller, grant, sent_ms):
        if not caller.answered:
            caller.answered = True
            in_time = now_ms - caller.at_ms <= caller.kind.target_ms
            self.ends[caller.kind.name]["in_time" if in_time else "late"] += 1
        found = self.sched.observe_first_token(grant.grant_id, now_ms - sent_ms, now_ms)
        self._take(found, now_ms)

    def _end(self, now_ms, caller, grant, sent_ms, first_ms):
        token_ms = self.engines[grant.upstream_id].token_ms
        outcome = Outcome(
            kind=OutcomeKind.SUCCESS,
            first_token_ms=int(first_ms - sent_ms),
            total_ms=now_ms - sent_ms,
            output_tokens=caller.kind.output_tokens,
            token_us=int(1_000 * token_ms),
        )
        self._take(self.sched.release(grant.grant_id, outcome, now_ms), now_ms)

    def _refuse(self, caller, retry_after_ms, now_ms):
        if caller.tries > 1:
            caller.grant = "refused"
            self.ends[caller.kind.name]["refused"] += 1
            return
        left_ms = caller.at_ms + caller.kind.deadline_ms - now_ms
        wait_ms = min(retry_after_ms, RETRY_WAIT_FRACTION * left_ms)
        caller.tries += 1
        self._at(now_ms + wait_ms, self._come_back, caller)

    def _come_back(self, now_ms, caller):
        caller.tries = 1
        self._ask(now_ms, caller)
