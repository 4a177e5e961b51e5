"""A task that does one thing again and again."""

import asyncio
import contextlib
import inspect

from hemlockhoist.base.clock import MS_PER_S
from hemlockhoist.base.logs import get_logger

_log = get_logger("base.periodic")


class PeriodicTask:
    """Calls a coroutine function with a pause in between, until closed.

    Parameters
    ==========
    interval_ms : int or callable
        From the end of one call to the beginning of the next; a callable is asked each
        time, so that a part with nothing to do is woken less often.
    call : function or coroutine function
    """

    __slots__ = ("_call", "_interval_ms", "_task", "_woken")

    def __init__(self, interval_ms, call):
        self._interval_ms = interval_ms
        self._call = call
        self._task = None
        self._woken = asyncio.Event()

    async def start(self):
        """Begin; the first call is made at once."""
        self._task = asyncio.create_task(self._run())

    async def close(self):
        """End the task, also in the middle of a call."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def _run(self):
        while True:
            await self._call_once()
            await self._pause()

    def wake(self):
        """End the present pause; the next call is made at once."""
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
        # A fault that ended the task would show much later, as a host that answers
        # callers and no longer probes, reads or grants. The next call may do better.
        try:
            result = self._call()
            if inspect.isawaitable(result):
                await result
        except Exception:
            name = getattr(self._call, "__qualname__", repr(self._call))
            _log.error("periodic_call_failed", call=name, exc_info=True)
