"""A time limit on I/O that does not count pauses of this process."""

import asyncio
import contextlib

from hemlockhoist.base.clock import MS_PER_S

# A timer of an idle event loop fires within a few milliseconds.
LATE_TIMER_MS = 10
# Time for the event loop to process what its sockets received meanwhile. A new
# connection needs a few passes of the loop, of some milliseconds each under load.
GRACE_PERIOD_MS = 50


@contextlib.asynccontextmanager
async def io_timeout(limit_ms):
    """Limit the time of the enclosed I/O, like ``asyncio.timeout``.

    Failure prevented: this process gets no processor time for longer than the limit.
    When it runs again, the event loop cancels the operation before it processes the
    events that ended it, so that the peer is reported as unreachable. If the timer fires
    late, the operation gets a short time more, in which these events are processed.

    Parameters
    ==========
    limit_ms : float

    Raises
    ======
    TimeoutError
    """
    loop = asyncio.get_running_loop()
    limit_s = loop.time() + limit_ms / MS_PER_S

    def expire():
        now_s = loop.time()
        is_late = now_s - limit_s > LATE_TIMER_MS / MS_PER_S
        scope.reschedule(now_s + (GRACE_PERIOD_MS / MS_PER_S if is_late else 0))

    async with asyncio.timeout(None) as scope:
        timer = loop.call_at(limit_s, expire)
        try:
            yield scope
        finally:
            timer.cancel()
