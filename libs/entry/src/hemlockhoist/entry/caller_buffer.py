"""What a host buffers for a caller that reads its answer slowly."""

import asyncio

from hemlockhoist.base import MS_PER_S, HemlockhoistError, ResultCode
from hemlockhoist.listeners import queued_bytes, set_reset_on_close

# Events of an ordinary stream take less in total, so that its upstream is read on to
# the end however slow the caller is. An upstream cuts off an answer that stays unread.
MAX_BUFFER_BYTES = 262_144
# Not accounted, and not waited for: what an answer holds for a moment before it leaves.
FREE_BUFFER_BYTES = 16_384
# While memory is short, a caller that takes nothing for this long, with its buffer full
# or its answer complete, is cut off. A lost packet is sent again within far less.
UNREAD_TIMEOUT_MS = 5_000
# The same while there is memory. A receiver whose window was full announces space only
# after its application has read a large part of its buffer, so a caller that reads 8 to
# 50 KB/s seems to take nothing for longer than the limit above.
UNREAD_WITH_MEMORY_TIMEOUT_MS = 30_000
# Interval of the checks while a caller is waited for. There is no notice of progress
# above the transport's own limit.
CHECK_INTERVAL_MS = 20
# Limit above which the HTTP library itself waits for the caller, without a limit in
# time: above all that is written before a check of this module.
TRANSPORT_LIMIT_BYTES = 16_777_216


class SlowReader(HemlockhoistError):
    """A caller took nothing of its answer for too long."""

    code = ResultCode.CANCELLED


class CallerBuffer:
    """Bounds what is buffered for one caller, and accounts it.

    Load: callers that read slowly, or not at all. Failure prevented: their answers fill
    the memory that all requests need. Only the answer of the slow caller is cut.

    Parameters
    ==========
    transport : asyncio.Transport or None
        The caller's connection; None if it has been lost.
    memory : RequestMemory
    clock : Clock

    Attributes
    ==========
    is_waiting : bool
        Whether the caller is waited for, or was when its answer ended.
    """

    __slots__ = (
        "_clock",
        "_has_memory",
        "_is_accounted",
        "_memory",
        "_transport",
        "is_waiting",
    )

    def __init__(self, transport, memory, clock):
        self._transport = transport
        self._memory = memory
        self._clock = clock
        # Whether the latest reservation for the buffer fitted.
        self._has_memory = True
        self._is_accounted = False
        self.is_waiting = False
        if transport is not None:
            transport.set_write_buffer_limits(high=TRANSPORT_LIMIT_BYTES)

    @property
    def needs_check(self):
        """Whether so much is buffered, or was, that ``wait_below_limit`` has to run."""
        return self._is_accounted or self._buffered_bytes() > FREE_BUFFER_BYTES

    async def wait_below_limit(self, on_wait=None, held_bytes=None):
        """Account what is buffered, and wait until that is within the bounds.

        Parameters
        ==========
        on_wait : callable, optional
            Called without arguments as the caller begins to be waited for, and again and
            again meanwhile.
        held_bytes : callable, optional
            Returns the size of what else is held for the caller until it has taken
            what is buffered. It is accounted as well.

        Raises
        ======
        SlowReader
        """
        if self.needs_check and not self._fits(self._buffered_bytes(), held_bytes):
            await self._wait(lambda size: self._fits(size, held_bytes), on_wait)

    async def flush(self):
        """Wait until the caller has taken a complete answer, unless little is left.

        A long one is waited for to its end: the event loop keeps the whole of what was
        written at a time until the last byte of it has left.

        Raises
        ======
        SlowReader
        """
        if self._buffered_bytes() > FREE_BUFFER_BYTES:
            await self._wait(self._is_flushed)

    async def flush_all(self):
        """Wait until the kernel has all that was written.

        Raises
        ======
        SlowReader
        """
        if self._buffered_bytes():
            await self._wait(self._is_flushed)

    def abort(self):
        """Reset the connection, and drop what is buffered.

        Without the reset, the kernel would send what it has and end the connection in
        order, which looks like the end of an unframed answer.
        """
        if self._transport is not None:
            set_reset_on_close(self._transport, True)
            self._transport.abort()

    def close(self):
        """End the connection once the caller has taken what is buffered, or soon."""
        if self._transport is None:
            return
        self._transport.close()
        if self._buffered_bytes():
            asyncio.get_running_loop().call_later(
                UNREAD_TIMEOUT_MS / MS_PER_S, self._transport.abort
            )

    def _buffered_bytes(self):
        return self._transport.get_write_buffer_size() if self._transport else 0

    def _fits(self, buffered_bytes, held_bytes=None):
        """Account what is buffered; return whether nothing has to be waited for."""
        if buffered_bytes <= FREE_BUFFER_BYTES:
            self._is_accounted = False
            self._has_memory = self._memory.set_stream_buffer(0)
            return self._has_memory
        self._is_accounted = True
        if held_bytes is not None:
            buffered_bytes += held_bytes()
        self._has_memory = self._memory.set_stream_buffer(buffered_bytes)
        return self._has_memory and buffered_bytes <= MAX_BUFFER_BYTES

    def _is_flushed(self, buffered_bytes):
        self._fits(buffered_bytes)
        return not buffered_bytes

    def _untaken_bytes(self):
        """Return the bytes in this process and in the kernel that the caller lacks.

        The kernel takes further bytes only once a large part of its buffer is free. A
        caller that reads a few kilobytes a second would seem to take nothing for
        minutes.
        """
        return self._buffered_bytes() + queued_bytes(self._transport)

    def _unread_limit_ms(self):
        """Return the time without progress after which the caller is cut off."""
        if self._has_memory and not self._memory.is_host_short:
            return UNREAD_WITH_MEMORY_TIMEOUT_MS
        return UNREAD_TIMEOUT_MS

    async def _wait(self, is_done, on_wait=None):
        self.is_waiting = True
        lowest_bytes = self._untaken_bytes()
        progress_ms = self._clock.now_ms()
        if on_wait is not None:
            on_wait()
        while not is_done(self._buffered_bytes()):
            if self._transport.is_closing():
                return
            await asyncio.sleep(CHECK_INTERVAL_MS / MS_PER_S)
            if on_wait is not None:
                on_wait()
            untaken_bytes, now_ms = self._untaken_bytes(), self._clock.now_ms()
            if untaken_bytes < lowest_bytes:
                lowest_bytes, progress_ms = untaken_bytes, now_ms
            elif now_ms - progress_ms >= self._unread_limit_ms():
                text = (
                    f"the caller took nothing for {now_ms - progress_ms} ms, "
                    f"{self._buffered_bytes()} bytes are buffered"
                )
                raise SlowReader(text)
        self.is_waiting = False
