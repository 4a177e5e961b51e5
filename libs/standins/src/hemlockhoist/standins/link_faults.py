"""Faults of single pairs of a host and an upstream, or of a host and the platform."""

import asyncio
import contextlib
import signal

import aiohttp

from hemlockhoist.base import MS_PER_S
from hemlockhoist.standins.rejections import Rejection

MODEL = "assistant"
SERVICE = "reservations"
CUT_MS = (1_000, 6_000)
SILENCE_S = (0.5, 1.3)
REJECTION_S = (1.0, 6.0)
LINK_FAULT_INTERVAL_S = (0.5, 3.0)


class LinkFaults:
    """The faults of ``ProcessFaults`` that have random numbers of their own.

    They run beside the other faults, and change none of their draws.
    """

    __slots__ = ()

    def start_link_faults(self):
        """Begin to cut links and to silence upstreams, beside the other faults."""
        self._link_faults = asyncio.create_task(self._repeat_link_faults())

    async def _repeat_link_faults(self):
        while True:
            fault = self._link_rng.choice(
                (
                    self.cut_links,
                    self.silence_upstream,
                    self.reject_hosts,
                    self.change_beside_rejections,
                )
            )
            name = fault.__name__
            self.counts[name] = self.counts.get(name, 0) + 1
            await fault()
            await asyncio.sleep(self._link_rng.uniform(*LINK_FAULT_INTERVAL_S))

    async def _stop_link_faults(self):
        if self._link_faults is None:
            return
        if not self._link_faults.done():
            self._link_faults.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await self._link_faults
        for member in self._fleet.upstreams():
            self._fleet.process(member["id"]).signal(signal.SIGCONT)
        await self._fleet.reject_at_platform({})
        await asyncio.sleep(CUT_MS[1] / MS_PER_S)

    async def cut_links(self):
        """Cut one or two hosts from one upstream, or from all of a pool."""
        rng = self._link_rng
        members = self._fleet.upstreams(rng.choice((MODEL, SERVICE)))
        if rng.random() < 0.5:
            members = [rng.choice(members)]
        names = self._running_hosts()
        hosts = rng.sample(names, min(len(names), rng.choice((1, 2))))
        duration_ms, is_open_cut = rng.randint(*CUT_MS), rng.random() < 0.5
        for member in members:
            self._record(f"{member['id']} is cut from {hosts} for {duration_ms} ms")
            # It may have ended, or refuse connections on command.
            with contextlib.suppress(aiohttp.ClientError):
                await self._fleet.cut_links(member, hosts, duration_ms, is_open_cut)

    async def silence_upstream(self):
        """Suspend an upstream's process for about a second; it loses nothing."""
        member = self._link_rng.choice(self._fleet.upstreams())
        process = self._fleet.process(member["id"])
        self._record(f"{member['id']} is silent")
        process.signal(signal.SIGSTOP)
        await asyncio.sleep(self._link_rng.uniform(*SILENCE_S))
        process.signal(signal.SIGCONT)

    async def reject_hosts(self):
        """Let the platform reject some hosts, and serve at least one."""
        rng = self._link_rng
        names = self._running_hosts()
        rejection = rng.choice(tuple(Rejection))
        names = rng.sample(names, rng.randint(1, max(1, len(names) - 1)))
        self._record(f"the platform rejects {names}: {rejection.value}")
        await self._fleet.reject_at_platform(dict.fromkeys(names, rejection))
        await asyncio.sleep(rng.uniform(*REJECTION_S))
        await self._fleet.reject_at_platform({})

    async def change_beside_rejections(self):
        """Apply changed declarations while the platform rejects some hosts."""
        await asyncio.gather(
            self.reject_hosts(), self._apply("operator-c", self._link_rng)
        )
