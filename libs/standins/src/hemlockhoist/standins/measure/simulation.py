"""Discrete-event simulation of a policy under a load, on a virtual clock."""

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
    """Engine model with its upstream entry, cache view and load reports."""

    __slots__ = ("alive", "cache", "frozen_load", "model", "upstream", "wakeup_number")

    def __init__(self, model, upstream):
        self.model = model
        self.upstream = upstream
        self.alive = True
        self.frozen_load = None
        self.cache = PrefixCacheView()
        self.wakeup_number = 0


class Simulation:
    """Simulation of one run.

    Parameters
    ==========
    load : hemlockhoist.standins.measure.loads.Load
    policy : object
        Has the methods of ``PoolScheduler``; ``observe_first_token`` is optional.
    """

    __slots__ = (
        "_budget",
        "_engines",
        "_event_numbers",
        "_grants",
        "_heap",
        "_load",
        "_now_ms",
        "_policy",
        "_records",
        "_reports_first_token",
        "failed_connects",
    )

    def __init__(self, load, policy):
        self._load = load
        self._policy = policy
        self._reports_first_token = hasattr(policy, "observe_first_token")
        self._heap = []
        self._event_numbers = itertools.count()
        self._now_ms = 0
        self._engines = {}
        self._records = {}
        self._grants = {}
        # Shared by all policies, as the entry host does the retries, not the policy.
        self._budget = RetryBudget()
        self.failed_connects = 0

    def run(self):
        """Run to the last deadline; return the request records in order of arrival."""
        self._start_engines()
        for index, arrival in enumerate(self._load.arrivals):
            self._schedule(arrival.at_ms, self._arrive, index, arrival)
        for change in self._load.slowdowns:
            self._schedule(change.at_ms, self._slow_down, change)
        for loss in self._load.domain_losses:
            self._schedule(loss.at_ms, self._lose_domain, loss)
        end_ms = self._load.span_ms + max(t.deadline_ms for t in self._load.tiers)
        self._schedule(0, self._tick, end_ms)
        self._schedule(0, self._report, end_ms)
        while self._heap:
            self._now_ms, _, action, arguments = heapq.heappop(self._heap)
            action(*arguments)
        return [self._records[key] for key in sorted(self._records)]

    def _schedule(self, at_ms, action, *arguments):
        entry = (max(at_ms, self._now_ms), next(self._event_numbers), action, arguments)
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
        self._update_upstreams()

    def _update_upstreams(self):
        listed = [item.upstream for item in self._engines.values() if item.alive]
        self._apply_decisions(self._policy.set_upstreams(listed, self._now_ms))

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
        self._records[request.request_id] = RequestRecord(arrival, request)
        self._budget.on_request()
        self._apply_decisions(self._policy.submit(request, self._now_ms))

    def _apply_decisions(self, decisions):
        for decision in decisions:
            record = self._records[decision.request.request_id]
            if isinstance(decision, Rejected):
                record.record_refusal(decision.code, self._now_ms)
            elif isinstance(decision, Granted):
                self._dispatch(decision, record)

    def _dispatch(self, decision, record):
        grant, request = decision.grant, decision.request
        engine = self._engines[grant.upstream_id]
        if not engine.alive:
            self._schedule(self._now_ms + 1, self._connect_failed, grant, record)
            return
        self._grants[request.request_id] = grant
        best_match_blocks = max(
            item.cache.match(request.prefix_hashes)
            for item in self._engines.values()
            if item.alive
        )
        record.record_dispatch(best_match_blocks, self._now_ms)
        engine.model.submit(
            request.request_id,
            request.prompt_tokens,
            record.arrival.output_tokens,
            request.prefix_hashes,
            self._now_ms,
        )
        self._schedule(request.deadline_ms, self._disconnect_caller, request.request_id)
        self._schedule_wakeup(engine)

    def _connect_failed(self, grant, record):
        outcome = Outcome(kind=OutcomeKind.CONNECT_FAILED)
        self._apply_decisions(
            self._policy.release(grant.grant_id, outcome, self._now_ms)
        )
        record.attempts += 1
        self.failed_connects += 1
        kind = OutcomeKind.CONNECT_FAILED
        if self._budget.acquire(kind, record.attempts, self._now_ms):
            self._apply_decisions(self._policy.submit(record.request, self._now_ms))
        else:
            record.record_failure(self._now_ms)

    def _schedule_wakeup(self, engine):
        at_ms = engine.model.next_event_ms()
        if at_ms is None:
            return
        engine.wakeup_number += 1
        self._schedule(at_ms, self._advance, engine, engine.wakeup_number)

    def _advance(self, engine, wakeup_number):
        if wakeup_number == engine.wakeup_number and engine.alive:
            self._collect(engine)
            self._schedule_wakeup(engine)

    def _collect(self, engine):
        events = engine.model.advance(self._now_ms)
        for stored, removed in engine.model.take_cache_changes():
            engine.cache.apply(stored, removed)
        for event in events:
            record = self._records[event.request_id]
            if event.kind is EngineEventKind.FIRST_TOKEN:
                record.record_first_token(event.cached_tokens, event.at_ms)
                self._report_first_token(event.request_id, record)
            elif event.kind is EngineEventKind.FINISHED:
                record.record_completion(event.at_ms)
                self._release(event.request_id, OutcomeKind.SUCCESS, record)

    def _report_first_token(self, request_id, record):
        if not self._reports_first_token:
            return
        grant = self._grants[request_id]
        first_token_ms = record.since_dispatch_ms(record.first_token_ms)
        decisions = self._policy.observe_first_token(
            grant.grant_id, first_token_ms, self._now_ms
        )
        self._apply_decisions(decisions)

    def _release(self, request_id, kind, record):
        grant = self._grants.pop(request_id)
        outcome = Outcome(
            kind=kind,
            first_token_ms=record.since_dispatch_ms(record.first_token_ms),
            total_ms=record.since_dispatch_ms(self._now_ms),
            output_tokens=record.arrival.output_tokens,
            cached_tokens=record.cached_tokens,
        )
        self._apply_decisions(
            self._policy.release(grant.grant_id, outcome, self._now_ms)
        )

    def _disconnect_caller(self, request_id):
        """Cancel the engine's work at the deadline, when the caller disconnects."""
        grant = self._grants.get(request_id)
        if grant is None:
            return
        engine = self._engines[grant.upstream_id]
        self._collect(engine)
        if engine.model.cancel(request_id, self._now_ms) is None:
            # The answer finished within the same millisecond.
            self._schedule_wakeup(engine)
            return
        record = self._records[request_id]
        record.record_failure(self._now_ms)
        self._release(request_id, OutcomeKind.TIMEOUT, record)
        self._schedule_wakeup(engine)

    def _slow_down(self, change):
        engine = self._engines[f"u{change.upstream:04}"]
        engine.model.set_slowdown(change.permille)
        if change.freezes_reports and engine.frozen_load is None:
            engine.frozen_load = engine.model.load()
        self._schedule_wakeup(engine)

    def _lose_domain(self, loss):
        lost = [
            item
            for item in self._engines.values()
            if item.upstream.failure_domain == loss.failure_domain
        ]
        for engine in lost:
            engine.alive = False
        ids = {item.upstream.upstream_id for item in lost}
        affected = [
            key for key, grant in self._grants.items() if grant.upstream_id in ids
        ]
        for request_id in affected:
            record = self._records[request_id]
            record.record_failure(self._now_ms)
            self._release(request_id, OutcomeKind.BROKE_OFF, record)
        self._schedule(self._now_ms + loss.list_lag_ms, self._update_upstreams)

    def _tick(self, end_ms):
        self._apply_decisions(self._policy.tick(self._now_ms))
        if self._now_ms < end_ms:
            self._schedule(self._now_ms + TICK_MS, self._tick, end_ms)

    def _report(self, end_ms):
        lag_ms = self._load.report_lag_ms
        for engine in self._engines.values():
            if engine.alive:
                load = engine.frozen_load or engine.model.load()
                report = LoadReport(
                    upstream_id=engine.upstream.upstream_id,
                    in_flight=load.in_flight,
                    queued=load.queued,
                    age_ms=lag_ms,
                )
                self._schedule(self._now_ms + lag_ms, self._observe, report)
        if self._now_ms < end_ms:
            self._schedule(self._now_ms + REPORT_INTERVAL_MS, self._report, end_ms)

    def _observe(self, report):
        self._apply_decisions(self._policy.observe_load(report, self._now_ms))


def _without_tokens(config):
    """Return the configuration with per-token events switched off."""
    fields = {name: getattr(config, name) for name in config.__struct_fields__}
    return type(config)(**(fields | {"report_tokens": False}))
