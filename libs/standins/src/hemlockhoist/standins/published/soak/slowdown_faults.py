"""Replicas of a soak run that are slow for short periods, and report it."""

import asyncio

from hemlockhoist.standins.published.soak.callers import now_s

# The figures that replicas report: as usual, slower, or none that can be read.
_FIGURES = (100, 100, 250, 250, 900, 60, "0", "-5", "much")


class SlowdownFaultKinds:
    """Makes replicas slow; a base of ``SoakFaults``, whose attributes it uses."""

    async def slow_replica(self):
        """Delay the answers of a replica."""
        begin_s = now_s()
        replica = self._rng.choice(self._run.live_replicas())
        replica.delay_ms = self._rng.choice((200, 800))
        await self._sleep_between(0.3, 2.0)
        replica.delay_ms = self._run.default_delay_ms
        self._record_disturbance(begin_s)

    async def report_slowdowns(self):
        """Let all replicas report how slow they are, which changes at short intervals.

        The answers of replicas that are slow for so short a time are still due.
        """
        for _ in range(self._rng.randint(3, 8)):
            for replica in self._run.live_replicas():
                replica.slowdown_percent = self._rng.choice(_FIGURES)
            await asyncio.sleep(0.6)
        for replica in self._run.live_replicas():
            replica.slowdown_percent = None
