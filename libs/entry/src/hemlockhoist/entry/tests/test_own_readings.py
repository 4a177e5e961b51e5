import asyncio

from hemlockhoist.base import Clock, PlatformError
from hemlockhoist.base.testing import PausedTestCase
from hemlockhoist.entry.own_readings import OwnReadings, StoreLate


class SlowStore:
    """Answers each call after a time, with the number of the call."""

    def __init__(self):
        self.answer_s = 2.0
        self.answer_ms = 0
        self.is_lost = False
        self.calls = []

    async def read_table(self, table):
        return await self._answer(table, None)

    async def read_changes(self, table, since_version, wait_ms):
        return await self._answer(table, since_version)

    async def _answer(self, table, since_version):
        self.calls.append((table, since_version))
        number = len(self.calls)
        await asyncio.sleep(self.answer_s)
        if self.is_lost:
            raise PlatformError("lost")
        return number


class OwnReadingsTests(PausedTestCase):
    async def asyncSetUp(self):
        self.store = SlowStore()
        self.ended = []
        clock = Clock.from_running_loop()
        self.readings = OwnReadings(
            clock, self.store, lambda *end: self.ended.append(end)
        )
        self.addAsyncCleanup(self.readings.close)

    async def test_late_reading_goes_on_and_is_handed_over(self):
        """Guards against a reading begun anew though its answer is on the way."""
        for _ in range(2):
            with self.assertRaises(StoreLate):
                await self.readings.read_changes("op", 5, 0, late_ms=300)
            self.assertTrue(self.readings.is_late)
        await asyncio.sleep(2)
        self.assertEqual(self.store.calls, [("op", 5)])
        self.assertEqual(self.ended, [("op", 5, 1, None)])
        self.assertFalse(self.readings.is_late)

    async def test_late_reading_is_joined_by_a_caller_that_waits_for_it(self):
        with self.assertRaises(StoreLate):
            await self.readings.read_changes("op", 5, 0, late_ms=300)
        self.assertEqual(await self.readings.read_changes("op", 7, 0), 1)

    async def test_reading_without_an_answer_shows_that_the_store_is_slow(self):
        reading = asyncio.create_task(self.readings.read_table("op"))
        await asyncio.sleep(1.3)
        self.assertEqual(self.readings.answer_ms(), 1_300)
        await reading
        self.assertEqual(self.readings.answer_ms(), 0)

    async def test_failure_of_a_late_reading_is_handed_over(self):
        self.store.is_lost = True
        with self.assertRaises(StoreLate):
            await self.readings.read_table("op", late_ms=300)
        await asyncio.sleep(2)
        (end,) = self.ended
        self.assertEqual(end[:3], ("op", None, None))
        self.assertIsInstance(end[3], PlatformError)

    async def test_whole_reading_survives_its_caller(self):
        """Guards against a large table that is read again at each restart of a watch."""
        reading = asyncio.create_task(self.readings.read_table("op"))
        await asyncio.sleep(1)
        reading.cancel()
        await asyncio.gather(reading, return_exceptions=True)
        self.assertTrue(self.readings.reads_table("op"))
        self.assertEqual(await self.readings.read_table("op"), 1)
        self.assertEqual(len(self.store.calls), 1)

    async def test_reading_of_changes_ends_with_its_caller(self):
        """Guards against waiting on for a connection that the caller has given up."""
        reading = asyncio.create_task(self.readings.read_changes("op", 5, 0))
        await asyncio.sleep(1)
        reading.cancel()
        await asyncio.gather(reading, return_exceptions=True)
        self.assertEqual(await self.readings.read_changes("op", 5, 0), 2)

    async def test_late_reading_makes_the_others_late(self):
        """Guards against one silent connection that is noticed after a long wait."""
        self.store.answer_s = 60
        waiting = asyncio.create_task(
            self.readings.read_changes("servers", 5, 20_000, late_ms=1_500)
        )
        with self.assertRaises(StoreLate):
            await self.readings.read_changes("op", 5, 0, late_ms=300)
        with self.assertRaises(StoreLate):
            await waiting
        self.assertLess(asyncio.get_running_loop().time(), 1000.4)

    async def test_reading_that_may_be_silent_is_ended_when_the_store_is_back(self):
        self.store.answer_s = 60
        for table in ("servers", "op"):
            with self.assertRaises(StoreLate):
                await self.readings.read_changes(table, 5, 20_000, late_ms=300)
        self.store.answer_s = 0.01
        self.assertEqual(await self.readings.read_table("op"), 3)
        await asyncio.sleep(0.1)
        self.assertFalse(self.readings.is_late)
