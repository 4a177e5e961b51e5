"""The planned stop of an entry host: what it ends and when, with an answer to each."""

import asyncio
import contextlib

from hemlockhoist.base import MS_PER_S, Refused, ResultCode, get_logger
from hemlockhoist.decisions.entry import PlannedStop

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

    __slots__ = ("_context", "_limits", "stop")

    def __init__(self, context):
        self._context = context
        # The time limits of what is in progress.
        self._limits = set()
        self.stop = None

    def ends_before(self, deadline_ms):
        """Return whether this host's stop ends work before a deadline does."""
        return self.stop is not None and self.stop.ends_before(deadline_ms)

    @contextlib.asynccontextmanager
    async def limit(self, deadline_ms=None):
        """Limit work to a deadline, and to the time at which answers are due.

        Parameters
        ==========
        deadline_ms : int, optional
            None for no further limit.

        Raises
        ======
        TimeoutError
        """
        deadline_s = None if deadline_ms is None else deadline_ms / MS_PER_S
        async with asyncio.timeout_at(deadline_s) as limit:
            self._limits.add(limit)
            try:
                self._shorten(limit)
                yield
            finally:
                self._limits.discard(limit)

    @contextlib.asynccontextmanager
    async def limit_unsent(self):
        """Limit work for a request of which nothing has been sent.

        Raises
        ======
        Refused
            As answers are due.
        """
        try:
            async with self.limit():
                yield
        except TimeoutError as error:
            raise leaving() from error

    def _shorten(self, limit):
        if self.stop is None or limit.expired():
            return
        due_s = self.stop.answers_due_ms / MS_PER_S
        if limit.when() is None or limit.when() > due_s:
            limit.reschedule(due_s)

    def begin(self):
        """Begin the stop."""
        grace_ms = self._context.settings.bounds.stop_ms
        self.stop = PlannedStop(self._context.clock.now_ms(), grace_ms)
        for limit in self._limits:
            self._shorten(limit)

    async def run(self, leave):
        """Leave the fleet, and wait until all requests are answered.

        Parameters
        ==========
        leave : coroutine
            Removes this host's row from the store.
        """
        context = self._context
        _log.info("drain_begun", open_requests=context.open_requests)
        self.begin()
        context.leaving = True
        context.fleet.leave()
        context.homes.close()
        # A planned stop does not wait for a slow store.
        leaving_store = asyncio.create_task(leave)
        await self._sleep_until(self.stop.listens_until_ms)
        await context.callers.stop_listening()
        context.refuses_requests = True
        await self._wait_answered()
        if not leaving_store.done():
            _log.warning("host_row_not_dropped", reason="the store has not answered")
            leaving_store.cancel()
        await asyncio.gather(leaving_store, return_exceptions=True)
        await context.bus.flush(self.stop.flush_ms)
        _log.info("drain_ended", open_requests=context.open_requests)

    async def _wait_answered(self):
        context, stop = self._context, self.stop
        while context.open_requests and context.clock.now_ms() < stop.ends_ms:
            if context.clock.now_ms() >= stop.waits_until_ms:
                context.grants.refuse_waiting(
                    ResultCode.LEAVING, LEAVING_RETRY_AFTER_MS
                )
            await asyncio.sleep(CHECK_INTERVAL_MS / MS_PER_S)

    async def _sleep_until(self, until_ms):
        left_ms = until_ms - self._context.clock.now_ms()
        await asyncio.sleep(max(0, left_ms) / MS_PER_S)


def leaving():
    """Return the error of a request that has to go to another host."""
    return Refused("", ResultCode.LEAVING, LEAVING_RETRY_AFTER_MS)
