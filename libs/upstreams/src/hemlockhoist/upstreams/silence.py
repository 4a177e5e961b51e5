"""Detection of upstreams that vanished while a connection to them was idle."""

import asyncio

from hemlockhoist.base import MS_PER_S

# A request on a kept connection without a response for so long lets its upstream be
# probed. Most first events arrive earlier, and the probe and another attempt still fit
# into the usual time limits.
PROBE_AFTER_MS = 500


class SilenceCheck:
    """Ends the wait for a response if its upstream takes no new connection.

    An upstream that is gone without a word accepts no new connection, but a request on a
    kept one would wait until its caller's deadline.

    Parameters
    ==========
    probe : coroutine function
        Returns whether a connection can be made.
    """

    __slots__ = ("_limit", "_probe", "_task", "_timer")

    def __init__(self, probe):
        self._probe = probe
        self._limit = asyncio.timeout(None)
        self._task = None
        self._timer = None

    def begin(self):
        """Begin to wait for the response."""
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(PROBE_AFTER_MS / MS_PER_S, self._start)

    def _start(self):
        self._task = asyncio.create_task(self._check())

    async def _check(self):
        if not await self._probe():
            self._limit.reschedule(asyncio.get_running_loop().time())

    async def __aenter__(self):
        await self._limit.__aenter__()
        return self

    async def __aexit__(self, *exc_info):
        if self._timer is not None:
            self._timer.cancel()
        if self._task is not None:
            self._task.cancel()
        return await self._limit.__aexit__(*exc_info)
