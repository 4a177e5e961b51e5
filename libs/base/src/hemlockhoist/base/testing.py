"""An event loop with virtual time for tests.

Time advances only when no task is ready to run.
"""

import asyncio
import heapq
import unittest


class PausedEventLoop(asyncio.SelectorEventLoop):
    """An event loop whose clock jumps to the next timer when all tasks wait.

    A test that covers hours of virtual time runs in milliseconds, and its result does
    not depend on the load of the machine. The tested code must not use sockets: real
    input that arrives while the clock jumps would have no fixed order.
    """

    def __init__(self):
        super().__init__()
        self._now_s = 1000.0

    def time(self):
        """Return the virtual time in seconds."""
        return self._now_s

    def _run_once(self):
        self._drop_cancelled_timers()
        if not self._ready and not self._scheduled and not self._stopping:
            # Without this check, a test that waits for an event that can no longer
            # occur would hang.
            raise RuntimeError("deadlock: all tasks wait and no timer is set")
        if not self._ready and self._scheduled:
            self._now_s = max(self._now_s, self._scheduled[0]._when)
        super()._run_once()

    def _drop_cancelled_timers(self):
        # The base class would remove them only after the clock has been set, and would
        # then wait in real time for the next timer.
        while self._scheduled and self._scheduled[0].cancelled():
            handle = heapq.heappop(self._scheduled)
            handle._scheduled = False
            self._timer_cancelled_count -= 1


class PausedTestCase(unittest.IsolatedAsyncioTestCase):
    """An asynchronous test case that runs on virtual time."""

    def _setupAsyncioRunner(self):  # noqa: N802 (the name is unittest's)
        assert self._asyncioRunner is None
        self._asyncioRunner = asyncio.Runner(loop_factory=PausedEventLoop)
