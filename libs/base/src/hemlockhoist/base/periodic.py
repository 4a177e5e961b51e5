"""A task that calls a function periodically."""

import asyncio
import contextlib
import inspect

from hemlockhoist.base.clock import MS_PER_S
from hemlockhoist.base.logs import get_logger

_log = get_logger("base.periodic")


class PeriodicTask:
    """Calls a function at intervals until it is closed.

    Parameters
    ==========
    interval_ms : int or callable
        The time from the end of one call to the start of the next. A callable is
        evaluated each time, so that an idle component can be called less often.
    call : function or coroutine function
    """

    __slots__ = ("_call", "_interval_ms", "_task", "_woken")

    def __init__(self, interval_ms, call):
        self._interval_ms = interval_ms
        self._call = call
        self._task = None
        self._woken = asyncio.Event()

    async def start(self):
        """Start the task; the first call is made immediately."""
        self._task = asyncio.create_task(self._run())

    async def close(self):
        """Cancel the task, even during a call."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def _run(self):
        while True:
            await self._call_once()
            await self._pause()

    def wake(self):
        """End the current pause, so that the next call is made immediately."""
        self._woken.set()

    async def _pause(self):
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self._pause_ms() / MS_PER_S):
                await self._woken.wait()
        self._woken.clear()

    def _pause_ms(self):
        interval_ms = self._interval_ms
        return interval_ms() if callable(interval_ms) else interval_ms

    async def _call_once(self):
        # An exception must not end the task: the host would still answer callers, but
        # no longer probe, read or grant, which would be noticed much later. The next
        # call may succeed.
        try:
            result = self._call()
            if inspect.isawaitable(result):
                await result
        except Exception:
            name = getattr(self._call, "__qualname__", repr(self._call))
            _log.error("periodic_call_failed", call=name, exc_info=True)
