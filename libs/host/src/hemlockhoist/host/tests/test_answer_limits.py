import asyncio
import unittest

from hemlockhoist.base import Clock
from hemlockhoist.base.testing import PausedTestCase
from hemlockhoist.host.answer_limits import AnswerLimits


class AnswerLimitsTests(PausedTestCase):
    async def asyncSetUp(self):
        self.clock = Clock.from_running_loop()
        self.limits = AnswerLimits()
        self.begin_ms = self.clock.now_ms()

    async def work(self, limit_ms=None):
        """Work for a minute; return after how long that was ended."""
        deadline_ms = None if limit_ms is None else self.begin_ms + limit_ms
        with self.assertRaises(TimeoutError):
            async with self.limits.limit(deadline_ms):
                await asyncio.sleep(60)
        return self.clock.now_ms() - self.begin_ms

    async def test_work_in_progress_ends_when_answers_are_due(self):
        """Guards against a process that ends before its requests."""
        works = [asyncio.create_task(self.work(ms)) for ms in (None, 9_000, 500)]
        await asyncio.sleep(0.1)
        self.limits.shorten(self.begin_ms + 1_000)
        self.assertEqual(await asyncio.gather(*works), [1_000, 1_000, 500])

    async def test_work_that_begins_later_ends_at_the_same_time(self):
        self.limits.shorten(self.begin_ms + 1_000)
        await asyncio.sleep(0.5)
        self.assertEqual(await self.work(), 1_000)
        await asyncio.sleep(1)
        self.assertEqual(await self.work(9_000), 2_000)

    async def test_limit_that_expires_as_answers_are_due_stays(self):
        """Guards against a stop that fails on a limit that has just expired."""
        work = asyncio.create_task(self.work(500))
        loop = asyncio.get_running_loop()
        loop.call_later(0.5, self.limits.shorten, self.begin_ms + 1_000)
        self.assertEqual(await work, 500)


if __name__ == "__main__":
    unittest.main()
