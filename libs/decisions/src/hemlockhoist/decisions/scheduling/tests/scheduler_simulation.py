"""Simulates callers and engines of different speeds around a scheduler, in memory."""

import collections
import heapq
import itertools

from hemlockhoist.base import InvariantLog, Property
from hemlockhoist.decisions import Granted, Outcome, OutcomeKind, Upstream
from hemlockhoist.decisions.scheduling import Experiments, PoolScheduler
from hemlockhoist.decisions.scheduling.tests import builders as b
from hemlockhoist.declarations import Pool, PoolKind
from hemlockhoist.messages import NO_LIMIT

TICK_MS = 50
BASE_COST = 10
PROMPT_TOKEN_COST = 0.0075
RETRY_WAIT_FRACTION = 1 / 3


class RequestClass:
    """A class of similar requests.

    Parameters
    ==========
    name : str
    rank, prompt_tokens, output_tokens : int
    target_ms, deadline_ms : int
    max_wait_ms : int
        After which a caller that has received nothing disconnects.
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
        max_wait_ms=2_400,
        max_gap_ms=300,
    ):
        self.name = name
        self.rank = rank
        self.prompt_tokens = prompt_tokens
        self.output_tokens = output_tokens
        self.target_ms = target_ms
        self.deadline_ms = deadline_ms
        self.max_wait_ms = max_wait_ms
        self.max_gap_ms = max_gap_ms


BULLETIN = RequestClass("bulletin", 0, 6_000, 380)
NOTICE = RequestClass("notice", 1, 600, 290)
TAG = RequestClass("tag", 2, 1_200, 20, target_ms=1_000, deadline_ms=2_500)


class _Caller:
    def __init__(self, request_class, number, at_ms, customer):
        self.customer = customer
        self.request_class = request_class
        self.number = number
        self.at_ms = at_ms
        self.attempts = 0
        self.submitted_ms = at_ms
        self.grant = None
        self.answered = False


class _Engine:
    def __init__(self, token_ms):
        self.token_ms = token_ms
        self.prompts_done_ms = 0.0
        self.running = {}
        self.limit_per_s = NO_LIMIT

    def compute_times(self, caller, now_ms):
        """Return the times of the first and the last event of the answer."""
        prompt_ms = (
            PROMPT_TOKEN_COST * caller.request_class.prompt_tokens * self.token_ms
        )
        start_ms = max(now_ms, self.prompts_done_ms)
        self.prompts_done_ms = start_ms + prompt_ms
        first_ms = self.prompts_done_ms + BASE_COST * self.token_ms
        return first_ms, first_ms + caller.request_class.output_tokens * self.token_ms


class SchedulerSimulation:
    """Runs requests from arrival to outcome.

    Parameters
    ==========
    tokens_ms : dict of str to float
        Time of an output token on each engine.
    slots : int
        Of each engine.
    experiments : Experiments, optional
    reserves_retries : bool, optional

    Attributes
    ==========
    outcomes : dict of str to Counter
        Counts of ``in_time``, ``late``, ``refused`` and ``disconnected`` (unanswered)
        by request class.
    assigned : dict of str to Counter
        Counts of engines by request class.
    starts : dict of str to list of int
        Times at which each engine was sent a request.
    refusals : list of (str, int)
        Request class and time of each refusal, also of those that were retried.
    """

    def __init__(self, tokens_ms, slots=4, experiments=None, reserves_retries=False):
        experiments = experiments or Experiments()
        pool = Pool(name="dossiers", kind=PoolKind.MODEL, stable_version="")
        self.invariants = InvariantLog(fatal=True)
        self.scheduler = PoolScheduler.from_config(
            pool,
            (),
            "i1",
            invariants=self.invariants,
            tracker=experiments.declared_slots_tracker(),
            experiments=experiments,
            reserves_retries=reserves_retries,
        )
        self.engines = {name: _Engine(ms) for name, ms in tokens_ms.items()}
        self.outcomes = collections.defaultdict(collections.Counter)
        self.assigned = collections.defaultdict(collections.Counter)
        self.starts = collections.defaultdict(list)
        self.refusals = []
        self._events = []
        self._event_numbers = itertools.count()
        self._callers = {}
        self._numbers = itertools.count()
        upstreams = [
            Upstream(
                upstream_id=name,
                pool="dossiers",
                version="v1",
                address="127.0.0.1:1",
                slot_count=slots,
            )
            for name in tokens_ms
        ]
        self.scheduler.set_upstreams(upstreams, 0)

    def send(self, request_class, at_ms, customer="aulas"):
        """Schedule the arrival of a request."""
        caller = _Caller(request_class, next(self._numbers), at_ms, customer)
        self._schedule(at_ms, self._submit, caller)

    def send_at_rate(self, request_class, every_ms, from_ms, until_ms):
        """Schedule arrivals of requests at a constant rate."""
        count = int((until_ms - from_ms) / every_ms)
        for number in range(count):
            self.send(request_class, int(from_ms + number * every_ms))

    def advertise(self, name, limit_per_s, from_ms):
        """Let an engine advertise a limit in its answers from a time on."""
        engine = self.engines[name]
        self._schedule(from_ms, lambda _: setattr(engine, "limit_per_s", limit_per_s))

    def run(self, until_ms):
        """Run the simulation; return ``outcomes``."""
        for at_ms in range(0, until_ms, TICK_MS):
            self._schedule(at_ms, self._tick)
        while self._events and self._events[0][0] <= until_ms:
            now_ms, _, callback, arguments = heapq.heappop(self._events)
            callback(now_ms, *arguments)
        return self.outcomes

    @property
    def order_checks(self):
        """How often the tier order was checked."""
        return self.invariants.checks[Property.TIER_ORDER]

    def _schedule(self, at_ms, callback, *arguments):
        heapq.heappush(
            self._events, (int(at_ms), next(self._event_numbers), callback, arguments)
        )

    def _tick(self, now_ms):
        self._handle(self.scheduler.tick(now_ms), now_ms)

    def _submit(self, now_ms, caller):
        caller.attempts += 1
        caller.submitted_ms = now_ms
        request_class = caller.request_class
        request = b.request(
            rank=request_class.rank,
            customer=caller.customer,
            now_ms=now_ms,
            route=request_class.name,
            prompt_tokens=request_class.prompt_tokens + caller.number,
            output_tokens=request_class.output_tokens,
            deadline_ms=caller.at_ms + request_class.deadline_ms,
            first_token_by_ms=now_ms + request_class.target_ms,
            waits_until_ms=now_ms + request_class.max_wait_ms,
            max_gap_ms=request_class.max_gap_ms,
        )
        self._callers[request.request_id] = caller
        waits_until_ms = min(request.waits_until_ms, request.deadline_ms)
        self._schedule(
            waits_until_ms,
            self._disconnect,
            caller,
            request.request_id,
            caller.attempts,
        )
        self._handle(self.scheduler.submit(request, now_ms), now_ms)

    def _disconnect(self, now_ms, caller, request_id, attempts):
        if caller.answered or caller.attempts != attempts or caller.grant == "refused":
            return
        caller.answered = True
        self.outcomes[caller.request_class.name]["disconnected"] += 1
        self._handle(self.scheduler.cancel(request_id, now_ms), now_ms)

    def _handle(self, decisions, now_ms):
        for decision in decisions:
            caller = self._callers[decision.request.request_id]
            if isinstance(decision, Granted):
                self._dispatch(caller, decision.grant, now_ms)
            else:
                self._on_refusal(caller, decision.retry_after_ms, now_ms)

    def _dispatch(self, caller, grant, now_ms):
        caller.grant = grant
        self.assigned[caller.request_class.name][grant.upstream_id] += 1
        self.starts[grant.upstream_id].append(now_ms)
        first_ms, end_ms = self.engines[grant.upstream_id].compute_times(caller, now_ms)
        self._schedule(first_ms, self._on_first_token, caller, grant, now_ms)
        self._schedule(end_ms, self._on_end, caller, grant, now_ms, first_ms)

    def _on_first_token(self, now_ms, caller, grant, sent_ms):
        if not caller.answered:
            caller.answered = True
            in_time = now_ms - caller.at_ms <= caller.request_class.target_ms
            self.outcomes[caller.request_class.name][
                "in_time" if in_time else "late"
            ] += 1
        limit_per_s = self.engines[grant.upstream_id].limit_per_s
        if limit_per_s != NO_LIMIT or grant.is_limited:
            self.scheduler.observe_limit(grant.upstream_id, limit_per_s, now_ms, now_ms)
        found = self.scheduler.observe_first_token(
            grant.grant_id, now_ms - sent_ms, now_ms
        )
        self._handle(found, now_ms)

    def _on_end(self, now_ms, caller, grant, sent_ms, first_ms):
        token_ms = self.engines[grant.upstream_id].token_ms
        outcome = Outcome(
            kind=OutcomeKind.SUCCESS,
            first_token_ms=int(first_ms - sent_ms),
            total_ms=now_ms - sent_ms,
            output_tokens=caller.request_class.output_tokens,
            token_us=int(1_000 * token_ms),
        )
        self._handle(self.scheduler.release(grant.grant_id, outcome, now_ms), now_ms)

    def _on_refusal(self, caller, retry_after_ms, now_ms):
        self.refusals.append((caller.request_class.name, now_ms))
        if caller.attempts > 1:
            caller.grant = "refused"
            self.outcomes[caller.request_class.name]["refused"] += 1
            return
        left_ms = caller.at_ms + caller.request_class.deadline_ms - now_ms
        wait_ms = min(retry_after_ms, RETRY_WAIT_FRACTION * left_ms)
        caller.attempts += 1
        self._schedule(now_ms + wait_ms, self._retry, caller)

    def _retry(self, now_ms, caller):
        caller.attempts = 1
        self._submit(now_ms, caller)
