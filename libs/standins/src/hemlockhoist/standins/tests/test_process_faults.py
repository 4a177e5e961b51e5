import asyncio
import random

import aiohttp

from hemlockhoist.base import MS_PER_S, Clock
from hemlockhoist.base.testing import PausedTestCase
from hemlockhoist.standins.process_faults import (
    LISTEN_TIMEOUT_S,
    REFUSE_MS,
    FaultNotSet,
    ProcessFaults,
)


class RunningProcess:
    """A process that is running."""

    running = True
    pid = 1


class RefusingFleet:
    """A fleet of one upstream, which refuses connections when it is told to.

    Parameters
    ==========
    late_ms : int
        How much later than told it listens again.
    """

    def __init__(self, late_ms=0):
        self.hosts = {}
        self.late_ms = late_ms
        self.is_lost = False
        self.faults = []
        self._clock = Clock.from_running_loop()
        self._listens_at_ms = 0

    def upstreams(self, pool=None):
        return [{"id": "service-1", "state": "live", "pool": pool}]

    def process(self, name):
        return RunningProcess()

    async def set_faults(self, member, faults):
        self._check_listening()
        self.faults.append(faults)
        if "refuse_ms" in faults:
            now_ms = self._clock.now_ms()
            self._listens_at_ms = now_ms + faults["refuse_ms"] + self.late_ms

    async def run_counts(self, member):
        self._check_listening()

    def _check_listening(self):
        if self.is_lost or self._clock.now_ms() < self._listens_at_ms:
            raise aiohttp.ClientConnectionError("refused")


class Faults(ProcessFaults):
    """Faults without a platform."""

    __slots__ = ()

    async def _set_platform_faults(self, faults):
        pass


class RefusedConnectionTests(PausedTestCase):
    def start(self, late_ms=0):
        self.fleet = RefusingFleet(late_ms)
        self.faults = Faults(self.fleet, None, "", random.Random(1))
        task = asyncio.create_task(self.faults.refuse_connections())
        self.faults._tasks.add(task)

    async def test_upstream_that_refuses_on_command_is_healed_when_it_listens(self):
        """Guards against a clean-up that fails as an upstream refuses on command."""
        self.start(late_ms=300)
        await asyncio.sleep(REFUSE_MS / MS_PER_S / 2)
        await self.faults.heal()
        self.assertEqual(self.fleet.faults[-1], {"state": "live"})

    async def test_another_fault_waits_until_the_upstream_listens(self):
        """Guards against a fault that fails as its upstream refuses on command."""
        self.start()
        await asyncio.sleep(0.1)
        await self.faults.drop_calls_before_running()
        self.assertEqual(self.fleet.faults[-1], {"drop_before": 2})

    async def test_upstream_that_does_not_listen_again_is_found(self):
        """Guards against a clean-up that hides an upstream that is lost."""
        self.start()
        await asyncio.sleep(0.1)
        self.fleet.is_lost = True
        with self.assertRaisesRegex(FaultNotSet, "service-1 still refuses"):
            async with asyncio.timeout(REFUSE_MS / MS_PER_S + LISTEN_TIMEOUT_S + 1):
                await self.faults.heal()

    async def test_upstream_that_ended_is_found(self):
        """Guards against a clean-up that hides an upstream that is lost."""
        self.fleet = RefusingFleet()
        self.faults = Faults(self.fleet, None, "", random.Random(1))
        self.fleet.is_lost = True
        with self.assertRaisesRegex(FaultNotSet, "service-1 .*pid 1"):
            await self.faults.heal()
