"""The memory of requests on an entry host: waiting for it, and returning it."""

import asyncio
import ctypes
import heapq
import itertools

from hemlockhoist.base import MS_PER_S, DispatchError, Refused, ResultCode, get_logger
from hemlockhoist.decisions.entry import (
    LOWEST_RANK,
    STARTED_RANK,
    MemoryBudget,
    MemoryPurpose,
)

_log = get_logger("entry.memory")

# A body that does not fit waits for this long, about a third of the time within which
# the most urgent callers expect a first event.
BODY_WAIT_MS = 300
# An answer has run, and its upstream waits for as long before it cuts it off.
RESPONSE_WAIT_MS = 2_000
RETRY_AFTER_MS = 500
# What waits holds what the HTTP library reads ahead, which is not accounted: up to
# 0.3 MB at a time.
MAX_WAITING = 64
# An answer is held twice: in parts and put together, then in its response and in the
# caller's connection.
RESPONSE_COPIES = 2


# Parameters of glibc's allocator, with their numbers in its ``mallopt``.
_M_TRIM_THRESHOLD, _M_MMAP_THRESHOLD = -1, -3
_ALLOCATOR_THRESHOLD_BYTES = 131_072


def return_freed_memory():
    """Have the allocator return the memory of large bodies to the system when freed.

    By default glibc raises its thresholds with the largest freed block, and bodies of
    some megabytes leave holes in the heap, which count as memory of the process.
    """
    try:
        mallopt = ctypes.CDLL(None).mallopt
    except AttributeError:
        # Another C library, without these parameters.
        return
    mallopt(_M_MMAP_THRESHOLD, _ALLOCATOR_THRESHOLD_BYTES)
    mallopt(_M_TRIM_THRESHOLD, _ALLOCATOR_THRESHOLD_BYTES)


class AnswerNotRead(DispatchError):  # noqa: N818
    """This host gave up an answer, for which its upstream is not at fault."""


class HostMemory:
    """Reserves memory of the host's budget; what does not fit waits, by tier.

    Parameters
    ==========
    budget : MemoryBudget
    """

    __slots__ = ("_is_short", "_numbers", "_waiting", "budget")

    def __init__(self, budget):
        self.budget = budget
        self._numbers = itertools.count()
        # (tier rank, number, purpose, byte count, future), the next to serve first.
        self._waiting = []
        self._is_short = False

    @classmethod
    def from_settings(cls, settings):
        """Return the memory of a host with these ``EntrySettings``."""
        return cls(MemoryBudget.from_max_memory_mb(settings.max_memory_mb))

    @property
    def is_waited_for(self):
        """Whether any request waits for memory."""
        return bool(self._waiting)

    def try_reserve(self, purpose, byte_count, tier_rank):
        """Reserve memory if no request of this tier or a higher one waits for some."""
        if not self.fits(byte_count, tier_rank):
            return False
        return self.budget.try_reserve(purpose, byte_count, tier_rank)

    def fits(self, byte_count, tier_rank):
        """Return whether ``try_reserve`` would succeed."""
        if self._waiting and self._waiting[0][0] <= tier_rank:
            return False
        return self.budget.fits(byte_count, tier_rank)

    async def reserve(self, purpose, byte_count, tier_rank, wait_ms):
        """Reserve memory, waiting for it if need be; return whether there was enough.

        Parameters
        ==========
        purpose : MemoryPurpose
        byte_count : int
        tier_rank : int
        wait_ms : int
        """
        if self.try_reserve(purpose, byte_count, tier_rank):
            return True
        if self.budget.exceeds_limit(byte_count, tier_rank):
            # It would only keep others waiting.
            return False
        self._log_short(purpose)
        if not self._make_room(tier_rank):
            return False
        future = asyncio.get_running_loop().create_future()
        entry = (tier_rank, next(self._numbers), purpose, byte_count, future)
        heapq.heappush(self._waiting, entry)
        try:
            await asyncio.wait([future], timeout=wait_ms / MS_PER_S)
        except asyncio.CancelledError:
            if future.done() and future.result():
                self.release(purpose, byte_count)
            raise
        finally:
            if not future.done():
                self._waiting.remove(entry)
                heapq.heapify(self._waiting)
                self._serve_waiting()
        return future.done() and future.result()

    def _make_room(self, tier_rank):
        """Return whether one more may wait; if need be, one of a lower tier may not."""
        if len(self._waiting) < MAX_WAITING:
            return True
        lowest = max(self._waiting, key=lambda entry: entry[:2])
        if lowest[0] <= tier_rank:
            return False
        self._waiting.remove(lowest)
        heapq.heapify(self._waiting)
        lowest[-1].set_result(False)
        return True

    def move(self, source, target, byte_count):
        """Account reserved memory for another purpose."""
        self.budget.move(source, target, byte_count)

    def release(self, purpose, byte_count):
        """Return reserved memory, and give it to what waits for some."""
        self.budget.release(purpose, byte_count)
        if self._waiting:
            self._serve_waiting()

    def _serve_waiting(self):
        while self._waiting:
            tier_rank, _, purpose, byte_count, future = self._waiting[0]
            if not self.budget.try_reserve(purpose, byte_count, tier_rank):
                return
            heapq.heappop(self._waiting)
            future.set_result(True)
        self._is_short = False

    def _log_short(self, purpose):
        """Log the begin of a time in which memory is waited for."""
        if self._is_short:
            return
        self._is_short = True
        _log.warning(
            "memory_short",
            purpose=purpose.value,
            used_bytes=self.budget.used_bytes,
            limit_bytes=self.budget.limit_bytes,
        )


class HeadMemory:
    """Accounts heads of requests, of which the customer is not known yet.

    Parameters
    ==========
    host_memory : HostMemory
    """

    __slots__ = ("_host_memory",)

    def __init__(self, host_memory):
        self._host_memory = host_memory

    @property
    def is_short(self):
        """Whether any request of the host waits for memory."""
        return self._host_memory.is_waited_for

    def try_reserve(self, byte_count):
        """Reserve memory within the share of the lowest tier; return whether it fits."""
        return self._host_memory.budget.try_reserve(
            MemoryPurpose.HEADS, byte_count, LOWEST_RANK
        )

    def release(self, byte_count):
        """Return reserved memory."""
        self._host_memory.release(MemoryPurpose.HEADS, byte_count)


class RequestMemory:
    """The memory that one request has reserved; all of it is returned at its end.

    Parameters
    ==========
    host_memory : HostMemory
    tier_rank : int
    """

    __slots__ = ("_host_memory", "_reserved", "_tier_rank")

    def __init__(self, host_memory, tier_rank):
        self._host_memory = host_memory
        self._tier_rank = tier_rank
        # Byte counts by purpose.
        self._reserved = {}

    async def reserve_body(self, byte_count):
        """Reserve memory for a body, or a part of it, before it is read.

        Raises
        ======
        Refused
            ``MEMORY_FULL``: the body does not fit.
        """
        purpose = MemoryPurpose.BODIES_READ
        if not await self._host_memory.reserve(
            purpose, byte_count, self._tier_rank, BODY_WAIT_MS
        ):
            text = f"no memory for {byte_count} bytes of a body"
            raise Refused(text, ResultCode.MEMORY_FULL, RETRY_AFTER_MS)
        self._add(purpose, byte_count)

    def keep_body(self, byte_count):
        """Account a body that has been read, and is kept for another attempt.

        Parameters
        ==========
        byte_count : int
            Its actual length.
        """
        read, kept = MemoryPurpose.BODIES_READ, MemoryPurpose.BODIES_KEPT
        reserved = self._reserved.pop(read, 0)
        kept_bytes = min(byte_count, reserved)
        self._host_memory.move(read, kept, kept_bytes)
        self._add(kept, kept_bytes)
        self._host_memory.release(read, reserved - kept_bytes)

    async def reserve_response(self, byte_count):
        """Reserve memory for a whole answer, or a part of it.

        Raises
        ======
        DispatchError
            ``OUTCOME_UNKNOWN``: the rest does not fit.
        """
        purpose = MemoryPurpose.RESPONSES
        byte_count *= RESPONSE_COPIES
        if not await self._host_memory.reserve(
            purpose, byte_count, STARTED_RANK, RESPONSE_WAIT_MS
        ):
            text = "no memory for the rest of an answer"
            raise AnswerNotRead(text, ResultCode.OUTCOME_UNKNOWN)
        self._add(purpose, byte_count)

    def drop_response(self, byte_count):
        """Return the memory of an answer that is not used.

        Parameters
        ==========
        byte_count : int
            What was reserved for it. Another attempt may hold an answer as well.
        """
        purpose = MemoryPurpose.RESPONSES
        byte_count *= RESPONSE_COPIES
        self._add(purpose, -byte_count)
        self._host_memory.release(purpose, byte_count)

    @property
    def is_host_short(self):
        """Whether any request of the host waits for memory."""
        return self._host_memory.is_waited_for

    def set_stream_buffer(self, byte_count):
        """Account what is buffered for the caller now; return whether it fits.

        It is there already, so it is accounted also beyond the limit, and others wait
        until it is gone.
        """
        purpose = MemoryPurpose.STREAM_BUFFERS
        change = byte_count - self._reserved.get(purpose, 0)
        self._reserved[purpose] = byte_count
        if change < 0:
            self._host_memory.release(purpose, -change)
            return not byte_count or self._host_memory.fits(0, STARTED_RANK)
        fits = self._host_memory.fits(change, STARTED_RANK)
        self._host_memory.budget.add(purpose, change)
        return fits

    def close(self):
        """Return all memory of the request."""
        for purpose in tuple(self._reserved):
            self._release(purpose)

    def _add(self, purpose, byte_count):
        self._reserved[purpose] = self._reserved.get(purpose, 0) + byte_count

    def _release(self, purpose):
        self._host_memory.release(purpose, self._reserved.pop(purpose, 0))
