"""Detection of upstreams that send nothing more in the middle of a stream."""

import asyncio

from hemlockhoist.base import MS_PER_S, DispatchError, ResultCode

# Time for the event loop to read what is buffered in its sockets.
READ_GRACE_MS = 50


async def always_replaced():
    """Return that another upstream will continue the stream."""
    return True


class StallWatchdog:
    """Closes a silent upstream's response once another can continue its stream.

    Load: an engine computes long prompts of other requests, and is silent meanwhile in
    all the streams that it runs. Most engines are then busy, and none may be left to
    continue the stream. Failure prevented: the stream is closed for its silence, no
    other upstream continues it, and its caller loses an answer that was about to go on.
    The response is therefore read until another upstream has begun to answer, and the
    search for one ends with the next data.

    Failure prevented: this host is suspended. When it resumes, the time limit has
    passed while the events received meanwhile are still unread, and the stream would be
    abandoned although its rest is available. The limit therefore only takes effect
    after the event loop has had time to read.

    Parameters
    ==========
    response : UpstreamResponse
    limit_ms : int or None
        Initial limit; None disables the watchdog.
    clock : Clock
    find_replacement : callable, optional
        Coroutine function that returns whether another upstream has begun to answer. It is
        cancelled when data arrives, and called again after further silence if it
        returned False.
    """

    __slots__ = (
        "_clock",
        "_due_ms",
        "_find_replacement",
        "_in_grace_period",
        "_is_replaced",
        "_limit_ms",
        "_response",
        "_search",
        "_timer",
    )

    def __init__(self, response, limit_ms, clock, find_replacement=always_replaced):
        self._find_replacement = find_replacement
        self._response = response
        self._limit_ms = limit_ms
        self._clock = clock
        self._due_ms = 0
        self._timer = None
        self._search = None
        self._in_grace_period = False
        self._is_replaced = False

    def start(self):
        """Start the watchdog."""
        if self._limit_ms is not None:
            self._wait(self._limit_ms)

    def close(self):
        """Stop the watchdog."""
        if self._timer is not None:
            self._timer.cancel()
        if self._search is not None:
            self._search.cancel()

    def on_progress(self, limit_ms):
        """Restart the watchdog after data arrived, with a possibly different limit."""
        if limit_ms is None:
            return
        is_shorter = limit_ms < self._limit_ms
        self._limit_ms = limit_ms
        self._due_ms = self._clock.now_ms() + limit_ms
        self._in_grace_period = False
        if self._search is not None:
            self._search.cancel()
            self._search = None
            self._schedule(limit_ms)
        elif is_shorter:
            # The timer would end with the longer limit that was in force before.
            self._timer.cancel()
            self._schedule(limit_ms)

    def on_link_lost(self, limit_ms):
        """Seek another upstream sooner, as this one can no longer be reached."""
        if self._limit_ms is None or self._search is not None:
            return
        self._due_ms = min(self._due_ms, self._clock.now_ms() + limit_ms)
        self._timer.cancel()
        self._schedule(max(0, self._due_ms - self._clock.now_ms()))

    def classify_error(self, error):
        """Return the error to raise for a failed read; a timeout if it had stalled."""
        if not self._is_replaced:
            return error
        text = "the upstream sent no data within the stall limit"
        return DispatchError(text, ResultCode.UPSTREAM_TIMEOUT)

    def _wait(self, limit_ms):
        self._due_ms = self._clock.now_ms() + limit_ms
        self._schedule(limit_ms)

    def _schedule(self, wait_ms):
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(wait_ms / MS_PER_S, self._check)

    def _check(self):
        remaining_ms = self._due_ms - self._clock.now_ms()
        if remaining_ms > 0:
            self._schedule(remaining_ms)
        elif not self._in_grace_period:
            self._in_grace_period = True
            self._schedule(READ_GRACE_MS)
        else:
            self._search = asyncio.create_task(self._replace())

    async def _replace(self):
        if await self._find_replacement():
            self._is_replaced = True
            self._response.close()
        else:
            self._search = None
            self._in_grace_period = False
            self._wait(self._limit_ms)
