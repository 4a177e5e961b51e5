import asyncio

from hemlockhoist.base import PlatformError, StoreAnswerLost
from hemlockhoist.base.testing import PausedTestCase
from hemlockhoist.store import StoreCalls
from hemlockhoist.store.calls import (
    MAX_ATTEMPTS,
    MIN_REPEAT_MS,
    STALLED_MS,
)


class FakeStore:
    """Answers calls after a time; the first connections may stay silent."""

    def __init__(self, answer_s=0.004, silent_count=0, body_s=()):
        self.answer_s = answer_s
        self.silent_count = silent_count
        # Times between the pieces of the body.
        self.body_s = body_s
        self.waits_ms = []
        self.open_count = 0

    async def call(self, progress, wait_ms):
        self.waits_ms.append(wait_ms)
        self.open_count += 1
        try:
            if len(self.waits_ms) <= self.silent_count:
                await asyncio.Event().wait()
            await asyncio.sleep(wait_ms / 1_000 + self.answer_s)
            progress.on_bytes()
            for pause_s in self.body_s:
                await asyncio.sleep(pause_s)
                progress.on_bytes()
            return len(self.waits_ms)
        finally:
            self.open_count -= 1


class ReadTests(PausedTestCase):
    async def asyncSetUp(self):
        self.calls = StoreCalls()
        self.loop = asyncio.get_running_loop()

    async def read(self, store, wait_ms=0):
        """Return the result of a read and the time that it took."""
        begun_s = self.loop.time()
        result = await self.calls.read(store.call, wait_ms)
        self.assertEqual(store.open_count, 0)
        return result, self.loop.time() - begun_s

    async def test_slow_answer_is_waited_for(self):
        """Guards against a reading that is given up just before it is answered."""
        for answer_s in (1.68, 2.34, 3.4):
            _, elapsed_s = await self.read(FakeStore(answer_s=answer_s))
            self.assertAlmostEqual(elapsed_s, answer_s, places=2)

    async def test_slow_store_is_soon_called_once_for_each_reading(self):
        """Guards against three calls for each reading, to a store that is overloaded."""
        store = FakeStore(answer_s=1.68)
        for _ in range(4):
            await self.read(store, 400)
        self.assertEqual(store.waits_ms, [400, 0, 400, 400, 400])

    async def test_long_answer_is_read_while_its_bytes_arrive(self):
        """Guards against a large row that is sent over and over on a slow link."""
        store = FakeStore(body_s=(1.0,) * 8)
        _, elapsed_s = await self.read(store)
        self.assertAlmostEqual(elapsed_s, 8.0, places=1)
        self.assertEqual(store.waits_ms, [0])

    async def test_answer_that_stops_arriving_is_given_up(self):
        with self.assertRaises(PlatformError):
            await self.read(FakeStore(body_s=(0.1, 60)))
        self.assertLess(self.loop.time() - 1000, 0.2 + STALLED_MS / 1_000)

    async def test_silent_connection_is_replaced(self):
        """Guards against a host that hears nothing as one answer was lost."""
        store = FakeStore(silent_count=1)
        result, elapsed_s = await self.read(store, 2_400)
        self.assertEqual(result, 2)
        self.assertAlmostEqual(elapsed_s, 2.4 + MIN_REPEAT_MS / 1_000, places=1)
        self.assertEqual(store.waits_ms, [2_400, 0])

    async def test_silent_store_is_given_up(self):
        store = FakeStore(silent_count=9)
        with self.assertRaises(PlatformError):
            await self.read(store)
        self.assertEqual(len(store.waits_ms), MAX_ATTEMPTS)
        self.assertEqual(store.open_count, 0)

    async def test_reads_that_wait_are_repeated_when_another_connection_was_silent(
        self,
    ):
        """Guards against a list of upstreams that is old until a long wait has ended."""
        upstreams = FakeStore(silent_count=1)
        waiting = asyncio.create_task(self.calls.read(upstreams.call, 20_000))
        _, elapsed_s = await self.read(FakeStore(silent_count=1))
        self.assertEqual(await waiting, 2)
        self.assertLess(self.loop.time() - 1000, elapsed_s + 0.1)

    async def calls_beside(self, answered, wait_ms):
        """Return how often a pending read is sent, as another one is answered."""
        await self.read(FakeStore(answer_s=1.4))
        pending = FakeStore(answer_s=2.0)
        task = asyncio.create_task(self.calls.read(pending.call))
        await asyncio.sleep(0.01)
        await self.calls.read(answered, wait_ms)
        await asyncio.sleep(0.01)
        count = len(pending.waits_ms)
        await task
        return count

    async def test_read_of_a_slow_store_is_repeated_once_it_is_quick_again(self):
        """Guards against hosts that wait for calls of before the store was well."""
        self.assertEqual(await self.calls_beside(FakeStore().call, 0), 2)

    async def test_answer_that_a_change_brought_early_does_not_repeat_other_reads(self):
        """Guards against whole tables that a slow store sends several times."""

        async def change(progress, wait_ms):
            await asyncio.sleep(1.2)
            progress.on_bytes()

        self.assertEqual(await self.calls_beside(change, 1_000), 1)

    async def test_lost_connection_is_reported_if_no_other_call_is_open(self):
        async def refuse(progress, wait_ms):
            raise ConnectionResetError

        with self.assertRaises(PlatformError):
            await self.calls.read(refuse)

    async def test_lost_connection_does_not_hide_the_answer_to_another_call(self):
        store = FakeStore()

        async def call(progress, wait_ms):
            if not store.waits_ms:
                store.waits_ms.append(wait_ms)
                await asyncio.sleep(1.55)
                raise ConnectionResetError
            store.answer_s = 0.3
            return await store.call(progress, wait_ms)

        self.assertEqual(await self.calls.read(call), 2)

    async def test_rejection_ends_a_read_at_once(self):
        async def reject(progress, wait_ms):
            raise PlatformError("the store rejects this host")

        with self.assertRaises(PlatformError):
            await self.calls.read(reject)
        self.assertEqual(self.loop.time(), 1000)

    async def test_read_that_is_cancelled_twice_leaves_no_call(self):
        """Guards against a stopping host that logs the error of an abandoned call."""
        store = FakeStore(silent_count=9)
        calls = StoreCalls()
        for make in (calls.read, calls.commit):
            task = asyncio.create_task(make(store.call))
            await asyncio.sleep(0.01)
            for _ in range(2):
                task.cancel()
                await asyncio.sleep(0)
            await asyncio.wait([task])
            await asyncio.sleep(0.01)
            self.assertEqual(store.open_count, 0)

    async def test_estimate_follows_the_store(self):
        await self.read(FakeStore(answer_s=1.4))
        self.assertEqual(self.calls.answer_ms, 1_400)
        for _ in range(10):
            await self.read(FakeStore())
        self.assertLess(self.calls.answer_ms, 10)

    async def test_early_answer_to_a_read_that_waits_is_no_measure(self):
        async def change(progress, wait_ms):
            await asyncio.sleep(0.5)
            progress.on_bytes()

        await self.calls.read(change, 2_000)
        self.assertEqual(self.calls.answer_ms, 0)


class CommitTests(PausedTestCase):
    async def test_commit_is_sent_once_and_waited_for(self):
        """Guards against writes that are taken for lost, and leases with them."""
        store = FakeStore(answer_s=3.5)
        self.assertEqual(await StoreCalls().commit(store.call), 1)
        store = FakeStore(silent_count=1)
        with self.assertRaises(StoreAnswerLost):
            await StoreCalls().commit(store.call)
        self.assertEqual(store.waits_ms, [0])
        self.assertEqual(store.open_count, 0)
        elapsed_s = asyncio.get_running_loop().time() - 1000
        timeout_s = StoreCalls().commit_timeout_ms / 1_000
        self.assertAlmostEqual(elapsed_s, 3.5 + timeout_s, places=2)
