"""Time from the running event loop, which tests pause and advance.

Nothing in the product reads the system's clock: intervals come from ``loop.time()``.
Points in time that leave a process (a lease's end, a move's "moved by" time) are
Unix milliseconds, worked out from one reading at start.
"""

import asyncio
import time

MS_PER_S = 1000


class Clock:
    """Milliseconds of the event loop's monotonic clock.

    Parameters
    ==========
    loop : asyncio.AbstractEventLoop
    unix_offset_ms : int
        Unix time minus loop time.
    """

    __slots__ = ("_loop", "unix_offset_ms")

    def __init__(self, loop, unix_offset_ms=0):
        self._loop = loop
        self.unix_offset_ms = unix_offset_ms

    @classmethod
    def from_running_loop(cls):
        """Return a clock that follows the running loop and the system's date."""
        loop = asyncio.get_running_loop()
        unix_ms = time.time_ns() // 1_000_000
        return cls(loop, unix_ms - int(loop.time() * MS_PER_S))

    def now_ms(self):
        """Return monotonic milliseconds."""
        return int(self._loop.time() * MS_PER_S)

    def unix_ms(self):
        """Return Unix milliseconds."""
        return self.now_ms() + self.unix_offset_ms


class SuspendAwareClock:
    """Milliseconds of a steady clock that goes on while the machine is suspended.

    The event loop's clock stands still then: what was read before a suspension would
    look fresh after it. Ages that must not be understated are counted on this one.

    Parameters
    ==========
    read_ns : callable
        Returns nanoseconds; tests give one that they advance.

    Examples
    ========
    >>> from hemlockhoist.base import SuspendAwareClock
    >>> SuspendAwareClock(lambda: 5_000_000).now_ms()
    5
    """

    __slots__ = ("_read_ns",)

    def __init__(self, read_ns):
        self._read_ns = read_ns

    @classmethod
    def from_system(cls):
        """Return the clock of this machine."""
        return cls(lambda: time.clock_gettime_ns(time.CLOCK_BOOTTIME))

    def now_ms(self):
        """Return milliseconds since the machine started, suspensions included."""
        return self._read_ns() // 1_000_000
