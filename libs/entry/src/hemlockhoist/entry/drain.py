"""The planned stop of an entry host: what it ends and when, with an answer to each."""

import asyncio
import contextlib

from hemlockhoist.base import MS_PER_S, Refused, ResultCode, get_logger
from hemlockhoist.decisions.entry import PlannedStop
from hemlockhoist.host.answer_limits import AnswerLimits

_log = get_logger("entry.process")

CHECK_INTERVAL_MS = 50
# Retry-After of a host about to stop: any other host accepts the request at once.
LEAVING_RETRY_AFTER_MS = 1


class Drain:
    """Has each request that is open at the end of a planned stop answered.

    Parameters
    ==========
    context : EntryContext

    Attributes
    ==========
    stop : PlannedStop or None
        None before the stop begins.
    """

    __slots__ = ("_context", "_is_over", "_limits", "stop")

    def __init__(self, context):
        self._context = context
        self._limits = AnswerLimits()
        # Nothing waits for open requests any more.
        self._is_over = False
        self.stop = None

    def check(self, admitted):
        """Check that a request may be accepted, wait for a slot or be sent now.

        Failure prevented: a request is sent shortly before the process ends, and its
        caller gets no answer of which it knows whether it ran. If refused, it gets a
        complete response from another host.

        Parameters
        ==========
        admitted : AdmittedCall

        Raises
        ======
        Refused
        """
        if self.stop is None:
            return
        context, now_ms = self._context, self._context.clock.now_ms()
        expected_ms = context.route_times.expected_ms(
            admitted.route.name, admitted.pool, now_ms
        )
        may_send = self.stop.may_send(now_ms, admitted.deadline_ms, expected_ms)
        if self._is_over or not may_send:
            raise leaving()

    def check_relayed(self, remaining_ms):
        """Check likewise that a request of another host may be sent now.

        Parameters
        ==========
        remaining_ms : int
            Time left of its limit.

        Raises
        ======
        Refused
        """
        if self.stop is None:
            return
        now_ms = self._context.clock.now_ms()
        if self._is_over or not self.stop.may_send(now_ms, now_ms + remaining_ms):
            raise leaving()

    def ends_before(self, deadline_ms):
        """Return whether this host's stop ends work before a deadline does."""
        return self.stop is not None and self.stop.ends_before(deadline_ms)

    def limit(self, deadline_ms=None):
        """Limit work as ``AnswerLimits.limit`` does."""
        return self._limits.limit(deadline_ms)

    @contextlib.asynccontextmanager
    async def limit_unsent(self):
        """Limit work for a request of which nothing has been sent.

        Raises
        ======
        Refused
            As answers are due.
        """
        try:
            async with self.limit() as limit:
                yield
        except TimeoutError as error:
            if not limit.expired():
                raise
            raise leaving() from error

    def begin(self, begin_ms):
        """Begin the stop, which was ordered at a time."""
        self.stop = PlannedStop(begin_ms, self._context.settings.bounds.stop_ms)
        self._limits.shorten(self.stop.answers_due_ms)

    async def run(self, begin_ms, leave):
        """Leave the fleet, and wait until all requests are answered.

        Parameters
        ==========
        begin_ms : int
            When the stop was ordered, maybe while the host started.
        leave : coroutine
            Removes this host's row from the store.
        """
        context = self._context
        _log.info("drain_begun", open_requests=context.open_requests)
        self.begin(begin_ms)
        context.leaving = True
        context.fleet.leave()
        context.homes.close()
        # A planned stop does not wait for a slow store.
        leaving_store = asyncio.create_task(leave)
        await self._wait(self.stop.listens_until_ms, lambda: False)
        await context.callers.stop_listening()
        await self._wait(self.stop.ends_ms, self._is_answered)
        self._is_over = True
        if not leaving_store.done():
            _log.warning("host_row_not_dropped", reason="the store has not answered")
            leaving_store.cancel()
        await asyncio.gather(leaving_store, return_exceptions=True)
        await context.bus.flush(self.stop.flush_ms)
        _log.info("drain_ended", open_requests=context.open_requests)

    def _is_answered(self):
        """Return whether all requests have been answered, also those that just begin.

        Failure prevented: connections that were accepted shortly before, and whose
        heads have not been read, are closed as if they were idle.
        """
        context = self._context
        return not context.open_requests and context.callers.is_quiet

    async def _wait(self, until_ms, is_done):
        """Wait for a time or a condition; refuse what can't be sent any more."""
        while not is_done():
            self._context.grants.recheck_waiting()
            left_ms = until_ms - self._context.clock.now_ms()
            if left_ms <= 0:
                return
            await asyncio.sleep(min(left_ms, CHECK_INTERVAL_MS) / MS_PER_S)


def leaving():
    """Return the error of a request that has to go to another host."""
    return Refused("", ResultCode.LEAVING, LEAVING_RETRY_AFTER_MS)
