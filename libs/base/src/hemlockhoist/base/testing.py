"""Event loops with virtual time for tests.

Time advances only when no task is ready to run.
"""

import asyncio
import heapq
import os
import selectors
import subprocess
import sys
import unittest

_BEGIN_S = 1_000.0
# How long to wait at a time, in real time, for work in other threads.
_THREADS_WAIT_S = 0.001
_MAX_OUTPUT_CHARACTERS = 8_000
_WITH_PYTHON_PARSER = """
import unittest
from aiohttp import http_parser
assert http_parser.HttpResponseParser is http_parser.HttpResponseParserPy
unittest.main(module=None)
"""


class PausedEventLoop(asyncio.SelectorEventLoop):
    """An event loop whose clock jumps to the next timer when all tasks wait.

    A test that covers hours of virtual time runs in milliseconds, and its result does
    not depend on the load of the machine. The tested code must not use sockets: real
    input that arrives while the clock jumps would have no fixed order. For code that
    does, there is ``PausedSocketEventLoop``.
    """

    def __init__(self):
        super().__init__()
        self._now_s = _BEGIN_S

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


class _IdleSelector(selectors.DefaultSelector):
    """A selector that asks for how long to wait where no socket is ready."""

    on_idle = None

    def select(self, timeout=None):
        """Return what is ready, as the base class does."""
        ready = super().select(0)
        if ready or timeout == 0:
            return ready
        return super().select(self.on_idle(timeout))


class PausedSocketEventLoop(asyncio.SelectorEventLoop):
    """An event loop on virtual time for whole sites that run in one process.

    Their parts are connected by sockets of the loopback interface, which delivers what
    is sent before the call returns. So nothing is on its way while no socket is ready,
    and the clock may jump to the next timer. Work takes no time, however busy the
    machine is; the clock stands still while other threads work for the loop.

    Which ports the parts get is up to the system, and with them which host is whose
    home: runs are alike, but not the same.

    Examples
    ========
    >>> import asyncio
    >>> from hemlockhoist.base.testing import PausedSocketEventLoop
    >>> loop = PausedSocketEventLoop()
    >>> began_s = loop.time()
    >>> loop.run_until_complete(asyncio.sleep(3_600))
    >>> loop.time() - began_s
    3600.0
    >>> loop.close()
    """

    def __init__(self):
        selector = _IdleSelector()
        selector.on_idle = self._on_idle
        self._now_s = _BEGIN_S
        self._thread_jobs = 0
        super().__init__(selector)

    def time(self):
        """Return the virtual time in seconds."""
        return self._now_s

    def run_in_executor(self, executor, func, *args):
        """Run a function in a thread, and stop the clock meanwhile."""
        future = super().run_in_executor(executor, func, *args)
        self._thread_jobs += 1
        future.add_done_callback(self._on_thread_job_done)
        return future

    def _on_thread_job_done(self, future):
        self._thread_jobs -= 1

    def _on_idle(self, timeout_s):
        """Move the clock to the next timer; return how long to wait for sockets."""
        if self._thread_jobs:
            return _THREADS_WAIT_S
        if timeout_s is None:
            return None
        self._now_s += timeout_s
        return 0


class PausedSocketTestCase(unittest.IsolatedAsyncioTestCase):
    """An asynchronous test case that runs a whole site on virtual time."""

    def _setupAsyncioRunner(self):  # noqa: N802 (the name is unittest's)
        assert self._asyncioRunner is None
        self._asyncioRunner = asyncio.Runner(loop_factory=PausedSocketEventLoop)


def run_with_python_parser(*names):
    """Run tests in a process that parses HTTP in Python; return its output.

    The HTTP library takes its other parser only as it is loaded.

    Parameters
    ==========
    names : str
        Dotted names of test classes.

    Raises
    ======
    AssertionError
        If a test fails, or none ran.
    """
    command = [sys.executable, "-c", _WITH_PYTHON_PARSER, *names]
    environment = {**os.environ, "AIOHTTP_NO_EXTENSIONS": "1"}
    process = subprocess.run(
        command, capture_output=True, text=True, env=environment, check=False
    )
    output = process.stdout + process.stderr
    if process.returncode or "\nRan 0 tests" in output:
        raise AssertionError(output[-_MAX_OUTPUT_CHARACTERS:])
    return output
