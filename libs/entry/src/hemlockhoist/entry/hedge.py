"""A second attempt of a slow request, beside the first one."""

import asyncio

from hemlockhoist.base import (
    MS_PER_S,
    DispatchError,
    Refused,
    ResultCode,
    get_logger,
)
from hemlockhoist.base.metrics_table import (
    HEDGES_ENDED,
    HEDGES_REFUSED,
    HEDGES_SENT,
)
from hemlockhoist.decisions.entry import AttemptEnd, HedgeRefusal
from hemlockhoist.declarations import CallKind

_log = get_logger("entry.hedge")

# A home answers within some milliseconds. Below the time after which a request for a
# grant is repeated, so that a lost hedge is no sign of an unresponsive home.
GRANT_TIMEOUT_MS = 100
_OK = 200
_FIRST_ERROR_STATUS = 300


class FirstAttemptOvertaken(Exception):  # noqa: N818
    """The second attempt has a usable response, so the first one's is not used."""


class Hedge:
    """Races one attempt of a request against a second one, which starts later.

    The first usable response wins as a whole: that of a call once it is read to its
    end, that of a stream with its first data. The other attempt is cancelled and its
    connection closed. At most one hedge is made for a request.

    Parameters
    ==========
    context : EntryContext
    admitted : AdmittedCall
    sender : AttemptSender
    grants : RequestGrants
    attempts : RequestAttempts
    waits_until_ms : callable
        Returns when the caller disconnects if it receives nothing until then.
    first_data_limit_ms : callable
        Returns the time within which a stream's first data should arrive.
    """

    __slots__ = (
        "_admitted",
        "_attempts",
        "_context",
        "_first_data_limit_ms",
        "_grants",
        "_is_allowed",
        "_policy",
        "_scope",
        "_sender",
        "_started_ms",
        "_task",
        "_timer",
        "_waits_until_ms",
        "_watched",
        "_winner",
    )

    def __init__(
        self,
        context,
        admitted,
        sender,
        grants,
        attempts,
        waits_until_ms,
        first_data_limit_ms,
    ):
        self._context = context
        self._admitted = admitted
        self._sender = sender
        self._grants = grants
        self._attempts = attempts
        self._waits_until_ms = waits_until_ms
        self._first_data_limit_ms = first_data_limit_ms
        self._policy = context.hedging
        self._is_allowed = self._policy.allows(admitted.route)
        self._policy.count_request()
        self._scope = None
        self._started_ms = 0
        self._task = None
        self._timer = None
        # The attempt that is raced against, until it has a usable response.
        self._watched = None
        # The hedge once it has a usable response, until it is taken.
        self._winner = None

    @property
    def is_pending(self):
        """Whether the hedge is in progress, or has a response that is not taken yet."""
        return self._winner is not None or (
            self._task is not None and not self._task.done()
        )

    async def race(self, opened, send):
        """Run an attempt, and start the hedge if it takes longer than most.

        Parameters
        ==========
        opened : OpenedAttempt
        send : coroutine function
            ``send(opened)`` runs the attempt and calls ``claim`` before anything of
            its response goes to the caller.

        Returns
        =======
        object
            The result of ``send``; None if the hedge has won, and ``is_overtaken`` of
            the attempt is set.
        """
        if not self._is_allowed or opened.response is not None:
            return await send(opened)
        self._watched, self._started_ms = opened, self._context.clock.now_ms()
        self._schedule()
        try:
            async with asyncio.timeout(None) as self._scope:
                return await send(opened)
        except (FirstAttemptOvertaken, TimeoutError):
            if self._winner is None:
                raise
            opened.attempt.is_overtaken = True
            self._observe()
            return None
        finally:
            self._scope = self._watched = None
            self._cancel_timer()

    def claim(self, opened):
        """Let an attempt's response go to the caller, and end the other attempt.

        Raises
        ======
        FirstAttemptOvertaken
            The other attempt has a usable response already.
        """
        if opened is not self._watched:
            return
        if self._winner is not None:
            raise FirstAttemptOvertaken
        self.observe(opened)
        self._watched = None
        self.forbid()
        if self._task is not None:
            self._task.cancel()

    def observe(self, opened):
        """Record how long an attempt took that has a response, if it is watched."""
        if opened is self._watched and opened.head.status < _FIRST_ERROR_STATUS:
            self._observe()

    def forbid(self):
        """Start no hedge from now on."""
        self._is_allowed = False
        self._cancel_timer()

    async def finish(self):
        """Wait for the hedge in progress; return whether it has a usable response."""
        self.forbid()
        if self._task is not None:
            await asyncio.wait([self._task])
        return self._winner is not None

    def take(self):
        """Return the hedge with a usable response, once, or None."""
        opened, self._winner = self._winner, None
        return opened

    async def close(self):
        """Cancel the hedge if it is in progress, and close its connection."""
        self.forbid()
        if self._task is not None and not self._task.done():
            self._task.cancel()
            await asyncio.wait([self._task])
        opened = self.take()
        if opened is not None:
            await self._attempts.discard(opened, times_out=False)

    def _schedule(self):
        route = self._admitted.route
        delay_ms = self._policy.delay_ms(
            route.name, self._admitted.pool, self._started_ms
        )
        # Both attempts count.
        has_attempts = self._attempts.sent_count + 2 <= route.max_attempts
        if delay_ms is not None and has_attempts:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(delay_ms / MS_PER_S, self._start)

    def _cancel_timer(self):
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _observe(self):
        now_ms = self._context.clock.now_ms()
        route, pool = self._admitted.route.name, self._admitted.pool
        self._policy.observe(route, pool, now_ms - self._started_ms, now_ms)

    def _start(self):
        """Start the hedge, if the budget allows it."""
        self.forbid()
        if self._context.memory.is_waited_for:
            # The hedge's answer would take memory as well.
            refusal = HedgeRefusal.MEMORY.value
            self._context.metrics.count(HEDGES_REFUSED, refusal)
            return
        now_ms = self._context.clock.now_ms()
        route, pool = self._admitted.route.name, self._admitted.pool
        left_ms = min(self._waits_until_ms(), self._admitted.deadline_ms) - now_ms
        refusal = self._policy.acquire(route, pool, left_ms, now_ms)
        if refusal is not None:
            self._context.metrics.count(HEDGES_REFUSED, refusal.value)
            return
        self._task = asyncio.create_task(self._run())

    async def _run(self):
        opened = None
        try:
            opened = await self._begin()
            if opened is not None:
                await self._open(opened)
        except Exception:
            # The first attempt goes on, whatever becomes of the hedge.
            _log.error("hedge_failed", request=self._grants.request_id, exc_info=True)
        finally:
            if opened is None or not opened.attempt.guard.dispatched:
                self._policy.refund()
            if opened is not None and opened is not self._winner:
                self._log_end("hedge_lost", opened, "failed" if opened.end else "lost")
                await self._attempts.discard(opened, times_out=False)

    async def _begin(self):
        """Return the granted attempt, or None if the home refused it."""
        try:
            async with asyncio.timeout(GRANT_TIMEOUT_MS / MS_PER_S):
                opened = await self._attempts.begin_beside(is_hedge=True)
        except (Refused, TimeoutError) as error:
            now_ms = self._context.clock.now_ms()
            self._policy.on_refused(self._admitted.pool, now_ms)
            self._context.metrics.count(HEDGES_REFUSED, HedgeRefusal.HOME.value)
            reason = getattr(error, "message", "the home did not answer in time")
            _log.info("hedge_refused", request=self._grants.request_id, reason=reason)
            return None
        _log.info(
            "hedge_sent",
            request=self._grants.request_id,
            attempt=opened.attempt.number,
            upstream=opened.attempt.hold.upstream_id,
            after_ms=self._context.clock.now_ms() - self._started_ms,
        )
        self._context.metrics.count(HEDGES_SENT, self._admitted.pool)
        return opened

    async def _open(self, opened):
        """Send the hedge; if its response is usable first, end the other attempt."""
        attempts = self._attempts
        try:
            with attempts.span(opened.attempt), self._sender.failure_recorded(opened):
                await self._read_in_time(opened)
        except Refused as error:
            opened.attempt.reason = error.message
            opened.end = AttemptEnd.NOT_SENT
        if opened.end is not None:
            return
        self._winner = opened
        self._log_end("hedge_won", opened, "won")
        if self._scope is not None:
            self._scope.reschedule(asyncio.get_running_loop().time())

    async def _read_in_time(self, opened):
        """Read until the response is usable, a stream's within its limit.

        Failure prevented: a silent hedge of a stream goes on until the deadline, and
        meanwhile no replacement of the first attempt is sought.
        """
        limit_s = None
        if self._admitted.route.kind is CallKind.STREAM:
            limit_s = self._first_data_limit_ms() / MS_PER_S
        try:
            async with asyncio.timeout(limit_s):
                await self._read(opened)
        except TimeoutError as error:
            text = "the upstream sent no data within the stall limit"
            raise DispatchError(text, ResultCode.UPSTREAM_TIMEOUT) from error

    async def _read(self, opened):
        """Read until the response is usable; ``end`` is set if it never is."""
        await self._sender.open(opened)
        if opened.end is not None:
            return
        is_stream = self._admitted.route.kind is CallKind.STREAM
        if is_stream and opened.head.status == _OK:
            await opened.response.wait_for_data()
            return
        opened.body = await self._attempts.read_body(opened.response)
        # The second copy of a request may get an error, such as a conflict, because of
        # the first one, whose answer is the sound one.
        if opened.head.status >= _FIRST_ERROR_STATUS:
            self._attempts.record_failed_answer(opened, opened.body)

    def _log_end(self, event, opened, result):
        self._context.metrics.count(HEDGES_ENDED, result)
        _log.info(
            event,
            request=self._grants.request_id,
            attempt=opened.attempt.number,
            upstream=opened.attempt.hold.upstream_id,
            after_ms=self._context.clock.now_ms() - self._started_ms,
            reason=opened.attempt.reason,
        )
