"""Reports of ended attempts to the pool's home, the metrics and the log."""

import asyncio
import contextlib
import functools

from hemlockhoist.base import MS_PER_S
from hemlockhoist.decisions import OutcomeKind
from hemlockhoist.entry.attempt_records import count_attempt, log_attempt

# An upstream that still runs, or has ended, is found out within some milliseconds.
MAX_REPORT_WAIT_MS = 1_000
_ABANDONED = frozenset({OutcomeKind.CANCELLED, OutcomeKind.TIMEOUT})


class AttemptReporter:
    """Reports the attempts of one request.

    Parameters
    ==========
    context : EntryContext
    admitted : AdmittedCall
    request_id : str
    upstream_call : callable
        ``upstream_call(attempt)`` returns the request as it was sent.
    """

    __slots__ = (
        "_admitted",
        "_context",
        "_reported",
        "_request_id",
        "_unreported_count",
        "_upstream_call",
    )

    def __init__(self, context, admitted, request_id, upstream_call):
        self._context = context
        self._admitted = admitted
        self._request_id = request_id
        self._upstream_call = upstream_call
        self._unreported_count = 0
        self._reported = asyncio.Event()

    async def wait_reported(self):
        """Wait, for a limited time, until all ended attempts have been reported.

        Failure prevented: the request has just ended its upstream, and is sent to the
        next one before its home knows.
        """
        if not self._unreported_count:
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(MAX_REPORT_WAIT_MS / MS_PER_S):
                await self._reported.wait()

    def release(self, attempt, times_out=True):
        """Report the outcome of an attempt, once it is known whose fault it was.

        Parameters
        ==========
        attempt : Attempt
        times_out : bool, optional
            Whether it counts as timed out if the deadline has passed.
        """
        now_ms = self._context.clock.now_ms()
        is_past_deadline = now_ms >= self._admitted.deadline_ms
        is_silent = times_out and is_past_deadline and not attempt.is_given_up
        if is_silent and attempt.kind is OutcomeKind.CANCELLED:
            attempt.kind = OutcomeKind.TIMEOUT
        attempt.ended_ms = now_ms
        paths, hold = self._context.upstreams, attempt.hold
        if attempt.kind is OutcomeKind.TIMEOUT or attempt.is_overtaken:
            attempt.is_link_at_fault = paths.links.is_lost(hold.pool, hold.upstream_id)
        if attempt.kind is OutcomeKind.BROKE_OFF:
            call = self._upstream_call(attempt)
            report = functools.partial(self._report_checked, attempt)
            self._unreported_count += 1
            self._reported.clear()
            paths.check_link(call, report, bool(attempt.guard.relay))
            return
        self._report(attempt, attempt.is_link_at_fault)
        self._watch_upstream(attempt)

    def _watch_upstream(self, attempt):
        """Look at the upstream of a run that was given up, as it may end on it."""
        is_sent = attempt.guard.dispatched and not attempt.is_misdirected
        if is_sent and attempt.kind in _ABANDONED:
            call = self._upstream_call(attempt)
            is_relayed = bool(attempt.guard.relay)
            self._context.abandoned_checks.add(
                attempt.hold, call, attempt.first_ms is not None, is_relayed
            )

    def _report_checked(self, attempt, is_link_at_fault, is_upstream_lost):
        is_crash = is_upstream_lost and not self._context.store_view.was_leaving(
            attempt.hold.upstream_id
        )
        self._report(attempt, is_link_at_fault, is_crash)
        self._unreported_count -= 1
        if not self._unreported_count:
            self._reported.set()

    def _report(self, attempt, is_link_at_fault, is_upstream_lost=False):
        attempt.record_fault(is_link_at_fault, is_upstream_lost)
        outcome = attempt.outcome()
        signals = attempt.unreported_signals(self._context.clock.now_ms())
        self._context.grants.release(attempt.hold, outcome, signals)
        count_attempt(self._context.metrics, attempt, outcome)
        routes_version = self._context.store_view.routes.version
        log_attempt(self._request_id, attempt, outcome, self._admitted, routes_version)
