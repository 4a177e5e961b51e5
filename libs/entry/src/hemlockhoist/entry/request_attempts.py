"""The attempts of one request: their grants, their number and their ends."""

from hemlockhoist.base.traces import Hop
from hemlockhoist.decisions import OutcomeKind
from hemlockhoist.decisions.entry import AttemptEnd, CutCause
from hemlockhoist.entry.attempt_reporter import AttemptReporter
from hemlockhoist.entry.responses import MAX_RESPONSE_BYTES, upstream_response


class RequestAttempts:
    """Begins and ends the attempts of one request, and counts them.

    Parameters
    ==========
    context : EntryContext
    admitted : AdmittedCall
    sender : AttemptSender
    grants : RequestGrants
    memory : RequestMemory

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
    unconfirmed : Attempt or None
        The latest attempt whose answer has ended in order without proof that it is
        whole, and whose upstream lives on.
    unconfirmed_response : aiohttp.web.StreamResponse or None
        Its answer, unless it is a stream.
    """

    __slots__ = (
        "_context",
        "_grants",
        "_memory",
        "_reporter",
        "_sender",
        "_unsettled",
        "count",
        "cut_cause",
        "failed_response",
        "reason",
        "sent_count",
        "unconfirmed",
        "unconfirmed_response",
        "unsent_count",
    )

    def __init__(self, context, admitted, sender, grants, memory):
        self._context = context
        self._memory = memory
        self._sender = sender
        self._grants = grants
        self._reporter = AttemptReporter(
            context, admitted, grants.request_id, sender.upstream_call
        )
        self.count = 0
        self.sent_count = 0
        self.unsent_count = 0
        self.reason = ""
        self.cut_cause = CutCause.REFUSED
        self.failed_response = None
        # The same attempt before it is known whether its upstream has ended.
        self._unsettled = None
        self.unconfirmed = None
        self.unconfirmed_response = None

    async def begin(self, is_optional=False):
        """Wait for a grant, and return an attempt in which nothing is sent yet.

        Parameters
        ==========
        is_optional : bool, optional
            Whether the home should refuse it unless it has capacity to spare.

        Raises
        ======
        Refused
        """
        self.count += 1
        hold, waited_ms = await self._grants.acquire(is_optional)
        return self._sender.new_attempt(hold, waited_ms, self.count)

    async def wait_reported(self):
        """Wait until the home knows how the attempts so far have ended."""
        await self._reporter.wait_reported()

    async def is_unconfirmed_broken(self):
        """Return whether the latest unconfirmed answer was lost with its upstream.

        Also if it was lost with the link to it, or nothing is known in time.
        """
        await self._reporter.wait_reported()
        attempt = self._unsettled
        is_broken = attempt.kind is not OutcomeKind.SUCCESS
        self.unconfirmed = None if is_broken else attempt
        return is_broken

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

    async def read_body(self, response):
        """Return the whole body of a response, whose memory is accounted meanwhile.

        Raises
        ======
        DispatchError
        """
        reserved_bytes = 0

        async def reserve(byte_count):
            nonlocal reserved_bytes
            await self._memory.reserve_response(byte_count)
            reserved_bytes += byte_count

        try:
            return await response.read(MAX_RESPONSE_BYTES, reserve)
        except BaseException:
            # Also when cancelled, as an attempt is once another one has won.
            self._memory.drop_response(reserved_bytes)
            raise

    def record_failure(self, attempt, end):
        """Record why an attempt failed; avoid its upstream while there are others."""
        self.reason = attempt.reason
        if end is None:
            return
        self.cut_cause = CutCause.after(end)
        if end is AttemptEnd.UNCONFIRMED:
            self._unsettled = attempt
        is_reached = attempt.is_reachable and not (
            attempt.grant_outdated or attempt.is_link_at_fault
        )
        if end is not AttemptEnd.NOT_SENT or not is_reached:
            self._grants.avoid(attempt.hold.upstream_id)

    def record_failed_answer(self, opened, body):
        """Record a whole response with an error of the upstream."""
        self.failed_response = upstream_response(
            opened.head, body, opened.attempt.body_end
        )
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
            if times_out or opened.end is not AttemptEnd.TIMED_OUT:
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
        self._reporter.release(attempt, times_out)
