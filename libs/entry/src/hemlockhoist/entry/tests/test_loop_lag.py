import asyncio

from hemlockhoist.base import Clock
from hemlockhoist.base.testing import PausedTestCase
from hemlockhoist.entry.loop_lag import PROBE_INTERVAL_MS, LoopLag


class LoopLagTests(PausedTestCase):
    async def asyncSetUp(self):
        self.lag = LoopLag(Clock(asyncio.get_running_loop()))

    async def test_idle_loop_has_no_lag(self):
        await self.lag.start()
        await asyncio.sleep(1)
        self.assertEqual(self.lag.take_largest_ms(), 0)
        await self.lag.close()

    async def test_largest_lag_is_reported_once(self):
        self.lag._probe()
        await asyncio.sleep((PROBE_INTERVAL_MS + 300) / 1_000)
        self.lag._probe()
        self.assertEqual(self.lag.take_largest_ms(), 300)
        self.assertEqual(self.lag.take_largest_ms(), 0)
