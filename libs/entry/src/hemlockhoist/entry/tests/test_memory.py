import asyncio
import unittest.mock

from hemlockhoist.base import Clock, DispatchError, Refused, ResultCode
from hemlockhoist.base.testing import PausedTestCase
from hemlockhoist.decisions.entry import STARTED_RANK, MemoryBudget, MemoryPurpose
from hemlockhoist.entry.caller_buffer import (
    FREE_BUFFER_BYTES,
    MAX_BUFFER_BYTES,
    UNREAD_TIMEOUT_MS,
    UNREAD_WITH_MEMORY_TIMEOUT_MS,
    CallerBuffer,
    SlowReader,
)
from hemlockhoist.entry.memory import (
    BODY_WAIT_MS,
    MAX_WAITING,
    RESPONSE_COPIES,
    AnswerNotRead,
    HostMemory,
    RequestMemory,
)
from hemlockhoist.entry.request_attempts import RequestAttempts

LIMIT_BYTES = 1_000_000
# What bodies of the highest tier may use of it.
BODIES_BYTES = 800_000
LOW_RANK = 1_000
# No error at the end of a response.
WHOLE = object()


class MemoryCase(PausedTestCase):
    async def asyncSetUp(self):
        self.host_memory = HostMemory(MemoryBudget(LIMIT_BYTES))

    def request(self, rank=0):
        memory = RequestMemory(self.host_memory, rank)
        self.addCleanup(self.check_returned)
        self.addCleanup(memory.close)
        return memory

    def check_returned(self):
        budget = self.host_memory.budget
        counts = [budget.used_by(purpose) for purpose in MemoryPurpose]
        if not any(counts):
            self.assertEqual(budget.used_bytes, 0)


class RequestMemoryTests(MemoryCase):
    async def test_body_that_does_not_fit_waits_shortly_and_is_refused(self):
        await self.request().reserve_body(700_000)
        begin_s = asyncio.get_running_loop().time()
        with self.assertRaises(Refused) as caught:
            await self.request().reserve_body(200_000)
        waited_s = asyncio.get_running_loop().time() - begin_s
        self.assertIs(caught.exception.code, ResultCode.MEMORY_FULL)
        self.assertAlmostEqual(waited_s, BODY_WAIT_MS / 1_000)
        self.assertEqual(self.host_memory.budget.used_bytes, 700_000)

    async def test_body_larger_than_its_tiers_limit_is_refused_at_once(self):
        """Guards against a body that can never fit and blocks others as it waits."""
        begin_s = asyncio.get_running_loop().time()
        with self.assertRaises(Refused):
            await self.request().reserve_body(BODIES_BYTES + 1)
        self.assertEqual(asyncio.get_running_loop().time(), begin_s)

    async def test_highest_tier_gets_free_memory_first(self):
        """Guards against a lower tier that is served while a higher one waits."""
        holder, order = self.request(), []
        await holder.reserve_body(BODIES_BYTES - 50_000)

        async def wait(rank, byte_count):
            await self.request(rank).reserve_body(byte_count)
            order.append(rank)

        async with asyncio.TaskGroup() as group:
            for rank, byte_count in ((LOW_RANK, 100), (0, 300_000), (LOW_RANK, 100)):
                group.create_task(wait(rank, byte_count))
                await asyncio.sleep(0)
            holder.close()
        self.assertEqual(order[0], 0)

    async def test_long_line_is_left_by_the_lowest_tier(self):
        """Guards against what waits, which takes memory as well, without a bound."""
        holder, refused = self.request(), []
        await holder.reserve_body(BODIES_BYTES)

        async def wait(rank):
            try:
                await self.request(rank).reserve_body(100)
            except Refused:
                refused.append(rank)

        async with asyncio.TaskGroup() as group:
            for rank in (*[LOW_RANK] * MAX_WAITING, LOW_RANK, 0):
                group.create_task(wait(rank))
                await asyncio.sleep(0)
            await asyncio.sleep(0.01)
            self.assertEqual(refused, [LOW_RANK, LOW_RANK])
            holder.close()
        self.assertEqual(len(refused), 2)

    async def test_cancelled_wait_holds_nothing(self):
        """Guards against memory that is lost as a caller leaves while it waits."""
        holder = self.request()
        await holder.reserve_body(BODIES_BYTES)
        for is_granted in (False, True):
            waiting = asyncio.create_task(self.request().reserve_body(10))
            await asyncio.sleep(0)
            if is_granted:
                holder.close()
            waiting.cancel()
            await asyncio.gather(waiting, return_exceptions=True)
            self.assertTrue(waiting.cancelled())
        self.assertEqual(self.host_memory.budget.used_bytes, 0)

    async def test_body_is_accounted_by_its_length_once_it_was_read(self):
        memory = self.request()
        await memory.reserve_body(500)
        memory.keep_body(400)
        budget = self.host_memory.budget
        self.assertEqual(budget.used_by(MemoryPurpose.BODIES_KEPT), 400)
        self.assertEqual(budget.used_bytes, 400)

    async def test_answers_have_memory_that_bodies_can_not_take(self):
        """Guards against answers that are lost as new bodies fill the memory."""
        await self.request().reserve_body(BODIES_BYTES)
        await self.request(LOW_RANK).reserve_response(100_000 // RESPONSE_COPIES)

    async def test_answer_that_does_not_fit_is_given_up(self):
        memory = self.request(LOW_RANK)
        await memory.reserve_response(900_000 // RESPONSE_COPIES)
        self.assertEqual(self.host_memory.budget.used_bytes, 900_000)
        with self.assertRaises(AnswerNotRead):
            await memory.reserve_response(200_000 // RESPONSE_COPIES)
        memory.drop_response(900_000 // RESPONSE_COPIES)
        self.assertEqual(self.host_memory.budget.used_bytes, 0)

    async def test_attempt_returns_the_memory_of_its_own_answer_only(self):
        """Guards against an answer that is not accounted as another attempt failed."""
        memory = self.request()
        sender, grants = unittest.mock.Mock(), unittest.mock.Mock()
        attempts = RequestAttempts(None, None, sender, grants, memory)
        for error in (DispatchError("", ResultCode.OUTCOME_UNKNOWN), None):
            with self.subTest(error=error):
                await attempts.read_body(FakeResponse(1_000))
                failing = FakeResponse(500, error)
                other = asyncio.create_task(attempts.read_body(failing))
                await failing.is_reserved.wait()
                if error is None:
                    other.cancel()
                await asyncio.gather(other, return_exceptions=True)
                used_bytes = self.host_memory.budget.used_by(MemoryPurpose.RESPONSES)
                self.assertEqual(used_bytes, RESPONSE_COPIES * 1_000)
                memory.close()


class FakeResponse:
    """A response that reserves memory, and then fails, or hangs unless it is whole."""

    def __init__(self, byte_count, error=WHOLE):
        self._byte_count, self._error = byte_count, error
        self.is_reserved = asyncio.Event()

    async def read(self, max_bytes, reserve):
        await reserve(self._byte_count)
        self.is_reserved.set()
        if self._error is WHOLE:
            return bytes(self._byte_count)
        if self._error is not None:
            raise self._error
        return await asyncio.Event().wait()


class FakeTransport:
    """A transport whose buffer is filled and taken by the test."""

    def __init__(self):
        self.size = 0
        self.is_aborted = False

    def get_write_buffer_size(self):
        return self.size

    def set_write_buffer_limits(self, high):
        pass

    def get_extra_info(self, name):
        return None

    def is_closing(self):
        return self.is_aborted

    def abort(self):
        self.is_aborted = True

    def close(self):
        pass


class CallerBufferTests(MemoryCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.transport = FakeTransport()
        self.memory = self.request()
        self.clock = Clock.from_running_loop()
        self.buffer = CallerBuffer(self.transport, self.memory, self.clock)

    def used_bytes(self):
        return self.host_memory.budget.used_by(MemoryPurpose.STREAM_BUFFERS)

    async def test_buffer_is_accounted_and_not_waited_for_below_its_limit(self):
        """Guards against an upstream that is left unread as its caller is slow."""
        begin_ms = self.clock.now_ms()
        for self.transport.size in (100, FREE_BUFFER_BYTES + 1, MAX_BUFFER_BYTES):
            await self.buffer.wait_below_limit()
        self.assertEqual(self.used_bytes(), MAX_BUFFER_BYTES)
        self.assertEqual(self.clock.now_ms(), begin_ms)
        self.transport.size = 0
        await self.buffer.wait_below_limit()
        self.assertEqual(self.used_bytes(), 0)

    async def test_caller_that_takes_nothing_is_cut(self):
        """Guards against a buffer that is held for a caller that has gone."""
        self.transport.size = MAX_BUFFER_BYTES + 1
        begin_ms, waits = self.clock.now_ms(), []
        with self.assertRaises(SlowReader):
            await self.buffer.wait_below_limit(lambda: waits.append(1))
        waited_ms = self.clock.now_ms() - begin_ms
        self.assertAlmostEqual(waited_ms, UNREAD_WITH_MEMORY_TIMEOUT_MS, delta=50)
        self.assertGreater(len(waits), 100)

    async def test_caller_that_takes_nothing_is_cut_soon_while_memory_is_short(self):
        """Guards against memory that a hanging caller keeps while others need it."""
        for is_refused in (True, False):
            with self.subTest(is_refused=is_refused):
                other = self.request()
                self.transport.size = 2 * MAX_BUFFER_BYTES
                self.assertTrue(self.memory.set_stream_buffer(0))
                used_bytes = LIMIT_BYTES - (0 if is_refused else self.transport.size)
                await other.reserve_response(used_bytes // RESPONSE_COPIES)
                begin_ms, waiting = self.clock.now_ms(), []
                cut = asyncio.create_task(self.buffer.wait_below_limit())
                while not cut.done():
                    if not is_refused and not self.host_memory.is_waited_for:
                        body = self.request().reserve_body(100)
                        waiting.append(asyncio.create_task(body))
                    await asyncio.sleep(0.01)
                self.assertIsInstance(cut.exception(), SlowReader)
                waited_ms = self.clock.now_ms() - begin_ms
                self.assertAlmostEqual(waited_ms, UNREAD_TIMEOUT_MS, delta=100)
                await asyncio.gather(*waiting, return_exceptions=True)
                other.close()

    async def test_caller_whose_window_is_full_for_long_is_not_cut(self):
        """Guards against a slow caller that is cut between two of its windows."""
        self.transport.size = MAX_BUFFER_BYTES + 20
        waiting = asyncio.create_task(self.buffer.wait_below_limit())
        for _ in range(20):
            await asyncio.sleep(4 * UNREAD_TIMEOUT_MS / 1_000)
            self.assertFalse(waiting.done())
            self.transport.size -= 1
        await waiting

    async def test_slow_caller_that_goes_on_reading_is_not_cut(self):
        self.transport.size = MAX_BUFFER_BYTES + 20
        waiting = asyncio.create_task(self.buffer.wait_below_limit())
        for _ in range(20):
            await asyncio.sleep(0.8 * UNREAD_TIMEOUT_MS / 1_000)
            self.assertFalse(waiting.done())
            self.transport.size -= 1
        await waiting

    async def test_buffer_without_memory_is_waited_for(self):
        """Guards against a buffer that grows although the host has no memory."""
        other = self.request()
        await other.reserve_response(LIMIT_BYTES // RESPONSE_COPIES)
        self.transport.size = 2 * FREE_BUFFER_BYTES
        waiting = asyncio.create_task(self.buffer.wait_below_limit())
        await asyncio.sleep(1.0)
        self.assertFalse(waiting.done())
        other.close()
        await waiting
        self.assertEqual(self.used_bytes(), 2 * FREE_BUFFER_BYTES)

    async def test_what_is_held_beside_the_buffer_is_accounted_beyond_the_limit(self):
        """Guards against others that get memory which slow streams have taken."""
        other = self.request()
        await other.reserve_response((LIMIT_BYTES - 100_000) // RESPONSE_COPIES)
        self.transport.size, held = 50_000, [300_000]
        waits = []
        waiting = asyncio.create_task(
            self.buffer.wait_below_limit(lambda: waits.append(1), lambda: held[0])
        )
        await asyncio.sleep(0)
        # The upstream is paused at once, not with the first check.
        self.assertEqual(len(waits), 1)
        self.assertEqual(self.used_bytes(), 350_000)
        self.assertFalse(self.host_memory.fits(1, STARTED_RANK))
        self.transport.size, held[0] = 30_000, 100_000
        await asyncio.sleep(0.1)
        self.assertEqual(self.used_bytes(), 130_000)
        self.assertFalse(waiting.done())
        self.transport.size = FREE_BUFFER_BYTES
        await waiting
        self.assertEqual(self.used_bytes(), 0)

    async def test_long_answer_is_accounted_until_it_is_taken_to_its_end(self):
        """Guards against answers that the event loop keeps for their last bytes."""
        self.transport.size = 2 * FREE_BUFFER_BYTES
        flush = asyncio.create_task(self.buffer.flush())
        await asyncio.sleep(0.1)
        self.transport.size = 100
        await asyncio.sleep(0.1)
        self.assertFalse(flush.done())
        self.transport.size = 0
        await flush

    async def test_closed_connection_does_not_keep_what_is_unread(self):
        """Guards against memory of a cut stream that its caller never reads."""
        self.transport.size = 100
        self.buffer.close()
        self.assertFalse(self.transport.is_aborted)
        await asyncio.sleep(1.1 * UNREAD_TIMEOUT_MS / 1_000)
        self.assertTrue(self.transport.is_aborted)
