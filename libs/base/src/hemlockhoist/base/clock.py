"""Clocks based on the event loop's time, which tests can control.

The product does not read the system clock for intervals: they are measured with
``loop.time()``. Timestamps that leave a process (a lease's end, a move's "moved by"
time) are Unix milliseconds, computed from one reading of the system clock at start.
"""

import asyncio
import time

MS_PER_S = 1000


class Clock:
    """A monotonic clock in milliseconds, based on the event loop's time.

    Parameters
    ==========
    loop : asyncio.AbstractEventLoop
    unix_offset_ms : int
        Unix time minus the loop's time, in milliseconds.
    """

    __slots__ = ("_loop", "unix_offset_ms")

    def __init__(self, loop, unix_offset_ms=0):
        self._loop = loop
        self.unix_offset_ms = unix_offset_ms

    @classmethod
    def from_running_loop(cls):
        """Return a clock on the running loop, with the offset from the system clock."""
        loop = asyncio.get_running_loop()
        unix_ms = time.time_ns() // 1_000_000
        return cls(loop, unix_ms - int(loop.time() * MS_PER_S))

    def now_ms(self):
        """Return the monotonic time in milliseconds."""
        return int(self._loop.time() * MS_PER_S)

    def unix_ms(self):
        """Return the Unix time in milliseconds."""
        return self.now_ms() + self.unix_offset_ms


class SuspendAwareClock:
    """A monotonic clock in milliseconds that includes time spent suspended.

    The event loop's clock stops while the machine is suspended, so data that was read
    before a suspension would look fresh after it. Ages that must not be
    underestimated are measured with this clock.

    Parameters
    ==========
    read_ns : callable
        Returns the time in nanoseconds; tests pass one that they advance.

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
        """Return a clock that reads the system's ``CLOCK_BOOTTIME``."""
        return cls(lambda: time.clock_gettime_ns(time.CLOCK_BOOTTIME))

    def now_ms(self):
        """Return the milliseconds since the machine booted, suspensions included."""
        return self._read_ns() // 1_000_000
