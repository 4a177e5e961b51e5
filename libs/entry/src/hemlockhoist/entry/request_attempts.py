"""The attempts of one request: their grants, their number and their ends."""

import functools

from hemlockhoist.base.traces import Hop
from hemlockhoist.decisions import OutcomeKind
from hemlockhoist.decisions.entry import AttemptEnd, CutCause
from hemlockhoist.entry.attempt_records import count_attempt, log_attempt
from hemlockhoist.entry.responses import upstream_response


class RequestAttempts:
    """Begins and ends the attempts of one request, and counts them.

    Parameters
    ==========
    context : EntryContext
    admitted : AdmittedCall
    sender : AttemptSender
    grants : RequestGrants

    Attributes
    ==========
    count : int
        Number of attempts begun so far.
    sent_count, unsent_count : int
        Number of attempts that have ended, in which something was sent or nothing.
    reason : str
        Why the latest attempt failed.
    cut_cause : CutCause
        Why a started stream would be cut if no other upstream can continue it.
    failed_response : aiohttp.web.Response or None
        The latest whole response with an error of an upstream.
    """

    __slots__ = (
        "_admitted",
        "_context",
        "_grants",
        "_sender",
        "count",
        "cut_cause",
        "failed_response",
        "reason",
        "sent_count",
        "unsent_count",
    )

    def __init__(self, context, admitted, sender, grants):
        self._context = context
        self._admitted = admitted
        self._sender = sender
        self._grants = grants
        self.count = 0
        self.sent_count = 0
        self.unsent_count = 0
        self.reason = ""
        self.cut_cause = CutCause.REFUSED
        self.failed_response = None

    async def begin(self):
        """Wait for a grant, and return an attempt in which nothing is sent yet.

        Raises
        ======
        Refused
        """
        self.count += 1
        hold, waited_ms = await self._grants.acquire()
        return self._sender.new_attempt(hold, waited_ms, self.count)

    async def begin_beside(self, is_hedge=False):
        """Likewise, while another attempt is in progress.

        Parameters
        ==========
        is_hedge : bool, optional
            Whether the home should refuse it unless it has capacity to spare.

        Raises
        ======
        Refused
        """
        hold, waited_ms = await self._grants.acquire(is_hedge)
        self.count += 1
        return self._sender.new_attempt(hold, waited_ms, self.count)

    def span(self, attempt):
        """Return the trace span of an attempt, a context manager."""
        return self._context.traces.span(
            Hop.UPSTREAM, upstream=attempt.hold.upstream_id
        )

    def record_failure(self, attempt, end):
        """Record why an attempt failed; avoid its upstream while there are others."""
        self.reason = attempt.reason
        if end is None:
            return
        self.cut_cause = CutCause.after(end)
        is_reached = attempt.is_reachable and not (
            attempt.grant_outdated or attempt.is_link_at_fault
        )
        if end is not AttemptEnd.NOT_SENT or not is_reached:
            self._grants.avoid(attempt.hold.upstream_id)

    def record_failed_answer(self, opened, body):
        """Record a whole response with an error of the upstream."""
        self.failed_response = upstream_response(opened.head, body)
        status = opened.head.status
        opened.attempt.reason = f"the upstream answered with status {status}"
        opened.end = AttemptEnd.FAILED_ANSWER

    async def discard(self, opened, times_out=True):
        """Close an attempt that ran beside another one, and is of no use.

        Parameters
        ==========
        opened : OpenedAttempt
        times_out : bool, optional
            Whether it counts as timed out if the deadline has passed. An attempt that
            began shortly before says nothing against its upstream.
        """
        await opened.close()
        if opened.end is not None:
            opened.attempt.record_end(opened.end)
            self.record_failure(opened.attempt, opened.end)
        self.end(opened.attempt, times_out)

    def end(self, attempt, times_out=True):
        """Count an attempt that has ended, and release its grant.

        Parameters
        ==========
        attempt : Attempt
        times_out : bool, optional
            As of ``discard``.
        """
        self._grants.on_attempt_ended(attempt)
        if attempt.is_misdirected or not attempt.guard.dispatched:
            self.unsent_count += 1
        else:
            self.sent_count += 1
        is_past_deadline = self._context.clock.now_ms() >= self._admitted.deadline_ms
        if times_out and is_past_deadline and attempt.kind is OutcomeKind.CANCELLED:
            attempt.kind = OutcomeKind.TIMEOUT
        self._release(attempt)

    def _release(self, attempt):
        """Report the outcome of an attempt, once it is known whose fault it was."""
        attempt.ended_ms = self._context.clock.now_ms()
        paths, hold = self._context.upstreams, attempt.hold
        if attempt.kind is OutcomeKind.TIMEOUT:
            attempt.is_link_at_fault = paths.links.is_lost(hold.pool, hold.upstream_id)
        if attempt.kind is OutcomeKind.BROKE_OFF:
            call = self._sender.upstream_call(attempt)
            report = functools.partial(self._report, attempt)
            paths.check_link(call, report, bool(attempt.guard.relay))
            return
        self._report(attempt, attempt.is_link_at_fault)

    def _report(self, attempt, is_link_at_fault, is_upstream_lost=False):
        attempt.is_link_at_fault = is_link_at_fault
        attempt.is_upstream_lost = is_upstream_lost
        outcome = attempt.outcome()
        signals = attempt.unreported_signals
        self._context.grants.release(attempt.hold, outcome, signals)
        count_attempt(self._context.metrics, attempt, outcome)
        request_id, call = self._grants.request_id, self._admitted.call
        log_attempt(request_id, attempt, outcome, call.block_names)
