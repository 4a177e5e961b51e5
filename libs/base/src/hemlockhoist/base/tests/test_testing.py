import asyncio

from hemlockhoist.base import Clock
from hemlockhoist.base.testing import PausedTestCase


class PausedLoopTests(PausedTestCase):
    async def test_sleep_advances_virtual_time(self):
        """Sleeping for an hour advances the clock by exactly one hour, at once."""
        clock = Clock(asyncio.get_running_loop())
        before_ms = clock.now_ms()
        await asyncio.sleep(3600)
        self.assertEqual(clock.now_ms() - before_ms, 3_600_000)
