"""Drives one policy through one load on a virtual clock: a heap of events."""

import heapq
import itertools

from hemlockhoist.decisions import (
    Granted,
    LoadReport,
    Outcome,
    OutcomeKind,
    Rejected,
    Upstream,
    WorkRequest,
)
from hemlockhoist.decisions.scheduling import RetryBudget
from hemlockhoist.standins.engine_model import (
    GENERATIONS,
    EngineEventKind,
    EngineModel,
)
from hemlockhoist.standins.measure.request_records import PrefixCacheView, RequestRecord

TICK_MS = 100
REPORT_INTERVAL_MS = 500


class _Engine:
    """An engine model with its place in the list and its reports."""

    __slots__ = ("alive", "cache", "frozen", "model", "upstream", "wake")

    def __init__(self, model, upstream):
        self.model = model
        self.upstream = upstream
        self.alive = True
        self.frozen = None
        self.cache = PrefixCacheView()
        self.wake = 0


class Simulation:
    """One run.

    Parameters
    ==========
    load : hemlockhoist.standins.measure.loads.Load
    policy : object
        With the methods of ``PoolScheduler``.
    """

    __slots__ = (
        "_answers",
        "_budget",
        "_engines",
        "_grants",
        "_heap",
        "_load",
        "_now_ms",
        "_order",
        "_policy",
        "_tells_first_token",
        "failed_connects",
    )

    def __init__(self, load, policy):
        self._load = load
        self._policy = policy
        self._tells_first_token = hasattr(policy, "observe_first_token")
        self._heap = []
        self._order = itertools.count()
        self._now_ms = 0
        self._engines = {}
        self._answers = {}
        self._grants = {}
        # The product's own, for every policy: the entry host makes retries.
        self._budget = RetryBudget()
        self.failed_connects = 0

    def run(self):
        """Run to the last deadline; return the answers in the order of arrival."""
        self._start_engines()
        for index, arrival in enumerate(self._load.arrivals):
            self._at(arrival.at_ms, self._arrive, index, arrival)
        for change in self._load.slowdowns:
            self._at(change.at_ms, self._slow_down, change)
        for loss in self._load.domain_losses:
            self._at(loss.at_ms, self._lose, loss)
        end_ms = self._load.span_ms + max(t.deadline_ms for t in self._load.tiers)
        self._at(0, self._tick, end_ms)
        self._at(0, self._report, end_ms)
        while self._heap:
            self._now_ms, _, action, arguments = heapq.heappop(self._heap)
            action(*arguments)
        return [self._answers[key] for key in sorted(self._answers)]

    def _at(self, at_ms, action, *arguments):
        entry = (max(at_ms, self._now_ms), next(self._order), action, arguments)
        heapq.heappush(self._heap, entry)

    def _start_engines(self):
        deployment = self._load.deployment
        for index, generation in enumerate(deployment.generations):
            upstream = Upstream(
                upstream_id=f"u{index:04}",
                pool="assistant",
                version="v1",
                address=f"127.0.0.1:{index + 1}",
                failure_domain=deployment.domain(index),
                generation=generation,
            )
            config = GENERATIONS[generation]
            model = EngineModel.from_config(_without_tokens(config))
            self._engines[upstream.upstream_id] = _Engine(model, upstream)
        self._publish()

    def _publish(self):
        listed = [item.upstream for item in self._engines.values() if item.alive]
        self._decide(self._policy.set_upstreams(listed, self._now_ms))

    def _arrive(self, index, arrival):
        tier = self._load.tiers[arrival.tier_rank]
        request = WorkRequest(
            request_id=f"r{index:07}",
            route="/v1/chat/completions",
            customer=arrival.customer,
            tier_rank=arrival.tier_rank,
            prompt_tokens=arrival.prompt_tokens,
            output_tokens=arrival.expected_tokens,
            prefix_hashes=arrival.prefix_hashes,
            deadline_ms=arrival.at_ms + tier.deadline_ms,
            first_token_by_ms=arrival.at_ms + tier.first_token_target_ms,
            entry_host="host-1",
            failure_domain=arrival.failure_domain,
        )
        self._answers[request.request_id] = RequestRecord(arrival, request)
        self._budget.on_request()
        self._decide(self._policy.submit(request, self._now_ms))

    def _decide(self, decisions):
        for decision in decisions:
            answer = self._answers[decision.request.request_id]
            if isinstance(decision, Rejected):
                answer.record_refusal(decision.code, self._now_ms)
            elif isinstance(decision, Granted):
                self._dispatch(decision, answer)

    def _dispatch(self, decision, answer):
        grant, request = decision.grant, decision.request
        engine = self._engines[grant.upstream_id]
        if not engine.alive:
            self._at(self._now_ms + 1, self._connect_failed, grant, answer)
            return
        self._grants[request.request_id] = grant
        best = max(
            item.cache.match(request.prefix_hashes)
            for item in self._engines.values()
            if item.alive
        )
        answer.record_dispatch(best, self._now_ms)
        engine.model.submit(
            request.request_id,
            request.prompt_tokens,
            answer.arrival.output_tokens,
            request.prefix_hashes,
            self._now_ms,
        )
        self._at(request.deadline_ms, self._hang_up, request.request_id)
        self._wake(engine)

    def _connect_failed(self, grant, answer):
        outcome = Outcome(kind=OutcomeKind.CONNECT_FAILED)
        self._decide(self._policy.release(grant.grant_id, outcome, self._now_ms))
        answer.attempts += 1
        self.failed_connects += 1
        kind = OutcomeKind.CONNECT_FAILED
        if self._budget.take(kind, answer.attempts, self._now_ms):
            self._decide(self._policy.submit(answer.request, self._now_ms))
        else:
            answer.record_failure(self._now_ms)

    def _wake(self, engine):
        at_ms = engine.model.next_event_ms()
        if at_ms is None:
            return
        engine.wake += 1
        self._at(at_ms, self._advance, engine, engine.wake)

    def _advance(self, engine, wake):
        if wake == engine.wake and engine.alive:
            self._collect(engine)
            self._wake(engine)

    def _collect(self, engine):
        events = engine.model.advance(self._now_ms)
        for stored, removed in engine.model.take_cache_changes():
            engine.cache.apply(stored, removed)
        for event in events:
            answer = self._answers[event.request_id]
            if event.kind is EngineEventKind.FIRST_TOKEN:
                answer.record_first_token(event.cached_tokens, event.at_ms)
                self._tell_first_token(event.request_id, answer)
            elif event.kind is EngineEventKind.FINISHED:
                answer.record_completion(event.at_ms)
                self._release(event.request_id, OutcomeKind.SUCCESS, answer)

    def _tell_first_token(self, request_id, answer):
        if not self._tells_first_token:
            return
        grant = self._grants[request_id]
        first_token_ms = answer.since_dispatch_ms(answer.first_token_ms)
        decisions = self._policy.observe_first_token(
            grant.grant_id, first_token_ms, self._now_ms
        )
        self._decide(decisions)

    def _release(self, request_id, kind, answer):
        grant = self._grants.pop(request_id)
        outcome = Outcome(
            kind=kind,
            first_token_ms=answer.since_dispatch_ms(answer.first_token_ms),
            total_ms=answer.since_dispatch_ms(self._now_ms),
            output_tokens=answer.arrival.output_tokens,
            cached_tokens=answer.cached_tokens,
        )
        self._decide(self._policy.release(grant.grant_id, outcome, self._now_ms))

    def _hang_up(self, request_id):
        """The caller's deadline: it goes away, and the engine's work is cancelled."""
        grant = self._grants.get(request_id)
        if grant is None:
            return
        engine = self._engines[grant.upstream_id]
        self._collect(engine)
        if engine.model.cancel(request_id, self._now_ms) is None:
            # It finished in this very millisecond.
            self._wake(engine)
            return
        answer = self._answers[request_id]
        answer.record_failure(self._now_ms)
        self._release(request_id, OutcomeKind.TIMEOUT, answer)
        self._wake(engine)

    def _slow_down(self, change):
        engine = self._engines[f"u{change.upstream:04}"]
        engine.model.set_slowdown(change.permille)
        if change.freezes_reports and engine.frozen is None:
            engine.frozen = engine.model.load()
        self._wake(engine)

    def _lose(self, loss):
        lost = [
            item
            for item in self._engines.values()
            if item.upstream.failure_domain == loss.failure_domain
        ]
        for engine in lost:
            engine.alive = False
        ids = {item.upstream.upstream_id for item in lost}
        held = [key for key, grant in self._grants.items() if grant.upstream_id in ids]
        for request_id in held:
            answer = self._answers[request_id]
            answer.record_failure(self._now_ms)
            self._release(request_id, OutcomeKind.BROKE_OFF, answer)
        self._at(self._now_ms + loss.list_lag_ms, self._publish)

    def _tick(self, end_ms):
        self._decide(self._policy.tick(self._now_ms))
        if self._now_ms < end_ms:
            self._at(self._now_ms + TICK_MS, self._tick, end_ms)

    def _report(self, end_ms):
        lag_ms = self._load.report_lag_ms
        for engine in self._engines.values():
            if engine.alive:
                load = engine.frozen or engine.model.load()
                report = LoadReport(
                    upstream_id=engine.upstream.upstream_id,
                    in_flight=load.in_flight,
                    queued=load.queued,
                    age_ms=lag_ms,
                )
                self._at(self._now_ms + lag_ms, self._observe, report)
        if self._now_ms < end_ms:
            self._at(self._now_ms + REPORT_INTERVAL_MS, self._report, end_ms)

    def _observe(self, report):
        self._decide(self._policy.observe_load(report, self._now_ms))


def _without_tokens(config):
    """Return the configuration without an event for each token."""
    fields = {name: getattr(config, name) for name in config.__struct_fields__}
    return type(config)(**(fields | {"report_tokens": False}))
