"""Dispatch of a request: acquires a grant, sends under it and releases it."""

import asyncio

import msgspec

from hemlockhoist.base import DispatchError, Refused, ResultCode, get_logger
from hemlockhoist.base.metrics_table import (
    ANSWER_MS,
    FIRST_TOKEN_MS,
    PROMPT_TOKENS,
    QUEUE_WAIT_MS,
    REQUESTS_ARRIVED,
    REQUESTS_GOOD,
    REQUESTS_WHOLE,
    WASTED_TOKENS,
)
from hemlockhoist.base.traces import Hop, context_to_text
from hemlockhoist.decisions import Outcome, OutcomeKind
from hemlockhoist.decisions.scheduling import RetryBudget
from hemlockhoist.messages import RequestBrief
from hemlockhoist.upstreams import DispatchRegister, SendGuard

_log = get_logger("host.dispatcher")

_LOST_KINDS = frozenset({OutcomeKind.BROKE_OFF, OutcomeKind.TIMEOUT})
_ABANDONED = frozenset({OutcomeKind.CANCELLED, OutcomeKind.TIMEOUT})
_OUTCOME_KINDS = {
    ResultCode.CONNECT_FAILED: OutcomeKind.CONNECT_FAILED,
    ResultCode.LINK_LOST: OutcomeKind.LINK_FAILED,
    ResultCode.GRANT_EXPIRED: OutcomeKind.NOT_SENT,
    ResultCode.UPSTREAM_TIMEOUT: OutcomeKind.TIMEOUT,
    ResultCode.UPSTREAM_BROKE_OFF: OutcomeKind.BROKE_OFF,
    ResultCode.OUTCOME_UNKNOWN: OutcomeKind.BROKE_OFF,
}


class EntryRequest(msgspec.Struct, kw_only=True):
    """A caller's request at its entry host.

    Parameters
    ==========
    request_id, pool, route, customer : str
    tier : str
        The tier's name, used in metrics.
    tier_rank, weight, max_in_flight : int
    idempotent : bool
    prompt_tokens, output_tokens : int
    prefix_hashes : tuple of int
    parts : tuple of int
        Hashes of the parts of its prompt, see ``RequestBrief``.
    fingerprint : int
        Identifies the request if its caller sends it again.
    arrived_ms, deadline_ms, first_token_by_ms : int
        On this host's clock.
    failure_domain : str
    """

    request_id: str
    pool: str
    route: str
    customer: str
    tier: str
    tier_rank: int
    weight: int
    max_in_flight: int
    idempotent: bool
    arrived_ms: int
    deadline_ms: int
    first_token_by_ms: int
    prompt_tokens: int = 0
    output_tokens: int = 0
    prefix_hashes: tuple[int, ...] = ()
    parts: tuple[int, ...] = ()
    fingerprint: int = 0
    failure_domain: str = ""

    def brief(self, now_ms):
        """Return the description sent to the pool's home, with the time left."""
        return RequestBrief(
            request_id=self.request_id,
            route=self.route,
            customer=self.customer,
            tier_rank=self.tier_rank,
            weight=self.weight,
            max_in_flight=self.max_in_flight,
            idempotent=self.idempotent,
            prompt_tokens=self.prompt_tokens,
            output_tokens=self.output_tokens,
            prefix_hashes=self.prefix_hashes,
            deadline_in_ms=self.deadline_ms - now_ms,
            first_token_in_ms=self.first_token_by_ms - now_ms,
            failure_domain=self.failure_domain,
            trace=context_to_text(),
            parts=self.parts,
            fingerprint=self.fingerprint,
        )


class DispatchReport:
    """Collects the result of one dispatch attempt for the pool's home.

    Parameters
    ==========
    guard : SendGuard

    Attributes
    ==========
    kind : OutcomeKind
        Set by the sender of the request; ``NOT_SENT`` until then.
    first_ms : int or None
        Time on the host's clock at which the answer began; None before.
    output_tokens, cached_tokens : int
        Counts for the outcome.
    is_upstream_lost : bool
        Whether the upstream was gone when its answer had broken off.
    is_continued : bool
        Whether the answer did not come to its end here.
    call : UpstreamCall or None
        The request as it was sent.
    """

    __slots__ = (
        "cached_tokens",
        "call",
        "first_ms",
        "guard",
        "is_continued",
        "is_upstream_lost",
        "kind",
        "output_tokens",
    )

    def __init__(self, guard):
        self.guard = guard
        self.call = None
        self.is_continued = False
        self.is_upstream_lost = False
        self.kind = OutcomeKind.NOT_SENT
        self.first_ms = None
        self.output_tokens = 0
        self.cached_tokens = 0

    def outcome(self, now_ms):
        """Return the outcome of the attempt, which ends at ``now_ms``."""
        sent_ms, relay = self.guard.dispatched_ms, self.guard.relay
        if sent_ms is None:
            return Outcome(kind=self.kind, relay=relay)
        kind = self.kind
        if relay and kind in _LOST_KINDS:
            # Whether the upstream or the relaying host is at fault is not known.
            kind = OutcomeKind.LINK_LOST
        first_ms = -1 if self.first_ms is None else self.first_ms - sent_ms
        return Outcome(
            kind=kind,
            first_token_ms=first_ms,
            total_ms=now_ms - sent_ms,
            output_tokens=self.output_tokens,
            cached_tokens=self.cached_tokens,
            relay=relay,
            is_crash_suspect=self.is_upstream_lost and self.output_tokens < 2,
            is_upstream_lost=self.is_upstream_lost,
            is_answered=self.kind is OutcomeKind.SUCCESS or self.output_tokens > 1,
            is_continued=self.is_continued,
        )

    @property
    def is_abandoned(self):
        """Whether its upstream may go on with a request that nobody waits for."""
        return self.call is not None and self.kind in _ABANDONED


class Dispatcher:
    """Dispatches requests under grants and releases the grants with their outcome.

    Parameters
    ==========
    grants : GrantClient
    clock : Clock
    invariants : InvariantLog
    traces : Traces
    metrics : Metrics
    abandoned_checks : AbandonedChecks
    answer_limits : AnswerLimits
    """

    __slots__ = (
        "_abandoned_checks",
        "_answer_limits",
        "_budgets",
        "_clock",
        "_grants",
        "_guards",
        "_metrics",
        "_traces",
        "register",
    )

    def __init__(
        self,
        grants,
        clock,
        invariants,
        traces,
        metrics,
        abandoned_checks,
        answer_limits,
    ):
        self._abandoned_checks = abandoned_checks
        self._answer_limits = answer_limits
        self._traces = traces
        self._metrics = metrics
        self._grants = grants
        self._clock = clock
        self._guards = {}
        self._budgets = {}
        self.register = DispatchRegister(invariants)

    async def run(self, work, consume, on_dispatch=None):
        """Dispatch a request at most once and return the result of ``consume``.

        An attempt in which nothing was sent is repeated within the pool's retry budget.

        Parameters
        ==========
        work : EntryRequest
        consume : coroutine function
            ``consume(hold, report)`` sends the request through ``report.guard``,
            reads the answer and sets ``report.kind``.
        on_dispatch : callable, optional
            Called just before the first byte is sent.

        Raises
        ======
        Refused
            Nothing was sent to an upstream.
        DispatchError
            The request may have been sent.
        """
        try:
            async with self._answer_limits.limit() as limit:
                return await self._run_attempts(work, consume, on_dispatch)
        except TimeoutError as error:
            if not limit.expired():
                raise
            if work.request_id in self.register:
                text = "the host stops"
                raise DispatchError(text, ResultCode.OUTCOME_UNKNOWN) from error
            raise Refused("", ResultCode.LEAVING) from error

    async def _run_attempts(self, work, consume, on_dispatch):
        self._metrics.count(REQUESTS_ARRIVED, work.tier)
        budget = self._budgets.setdefault(work.pool, RetryBudget())
        budget.on_request()
        attempt = 0
        while True:
            attempt += 1
            hold = await self._acquire(work)
            try:
                return await self._run_attempt(work, hold, consume, on_dispatch)
            except Refused as error:
                kind = _OUTCOME_KINDS.get(error.code, OutcomeKind.FAILED)
                if not budget.acquire(kind, attempt, self._clock.now_ms()):
                    raise
                _log.warning(
                    "dispatch_retried",
                    request=work.request_id,
                    upstream=hold.upstream_id,
                    reason=error.message,
                )

    async def _acquire(self, work):
        requested_ms = self._clock.now_ms()
        with self._traces.span(Hop.GRANT, pool=work.pool, tier=work.tier_rank):
            hold = await self._grants.acquire(work.pool, work.brief, work.deadline_ms)
        waited_ms = self._clock.now_ms() - requested_ms
        self._metrics.time(QUEUE_WAIT_MS, waited_ms, work.tier)
        return hold

    async def _run_attempt(self, work, hold, consume, on_dispatch):
        guard = SendGuard(
            self._clock, hold.expires_ms, self.register, work.request_id, on_dispatch
        )
        report = DispatchReport(guard)
        reason = ""
        self._guards[hold.grant_id] = (hold, guard)
        span = self._traces.span(
            Hop.UPSTREAM, upstream=hold.upstream_id, version=hold.version
        )
        try:
            with span:
                return await consume(hold, report)
        except (DispatchError, Refused) as error:
            report.kind = _OUTCOME_KINDS.get(error.code, OutcomeKind.FAILED)
            reason = error.message
            raise
        except asyncio.CancelledError:
            if guard.dispatched:
                report.kind = OutcomeKind.CANCELLED
            raise
        finally:
            del self._guards[hold.grant_id]
            outcome = report.outcome(self._clock.now_ms())
            self._grants.release(hold, outcome)
            if guard.dispatched and report.is_abandoned:
                is_begun, is_relayed = report.first_ms is not None, bool(guard.relay)
                self._abandoned_checks.add(hold, report.call, is_begun, is_relayed)
            self._record_metrics(work, report)
            _log_attempt(work, hold, report, outcome, reason)

    def _record_metrics(self, work, report):
        """Record the attempt's metrics.

        Goodput (``REQUESTS_GOOD``) counts complete answers that came by their deadline,
        with the first token within its target.
        """
        if report.guard.dispatched:
            self._metrics.count(PROMPT_TOKENS, work.pool, work.prompt_tokens)
        if report.kind is not OutcomeKind.SUCCESS:
            self._count_wasted(work, report)
            return
        now_ms = self._clock.now_ms()
        self._metrics.count(REQUESTS_WHOLE, work.tier)
        self._metrics.time(ANSWER_MS, now_ms - work.arrived_ms, work.tier)
        if report.first_ms is None:
            return
        first_ms = report.first_ms - work.arrived_ms
        self._metrics.time(FIRST_TOKEN_MS, first_ms, work.tier)
        in_time = report.first_ms <= work.first_token_by_ms
        if in_time and now_ms <= work.deadline_ms:
            self._metrics.count(REQUESTS_GOOD, work.tier)

    def _count_wasted(self, work, report):
        """Count the prompt tokens of an answer that began but was not completed."""
        if report.first_ms is not None:
            wasted = max(0, work.prompt_tokens - report.cached_tokens)
            self._metrics.count(WASTED_TOKENS, work.pool, wasted)

    def revoke(self, pool, version, reason):
        """Revoke grants of a halted version under which nothing was sent yet."""
        for hold, guard in self._guards.values():
            if hold.pool == pool and hold.version == version:
                guard.revoke(reason)

    def in_flight(self):
        """Return the number of requests that hold a grant."""
        return len(self._guards)


def _log_attempt(work, hold, report, outcome, reason):
    log = _log.info if outcome.kind is OutcomeKind.SUCCESS else _log.warning
    log(
        "attempt_ended",
        request=work.request_id,
        upstream=hold.upstream_id,
        relay=report.guard.relay,
        version=hold.version,
        home=hold.home,
        outcome=outcome.kind.value,
        sent=report.guard.dispatched,
        first_ms=outcome.first_token_ms,
        total_ms=outcome.total_ms,
        upstream_lost="true" if report.is_upstream_lost else "",
        fingerprint=f"{work.fingerprint:016x}" if report.is_upstream_lost else "",
        reason=reason,
    )
