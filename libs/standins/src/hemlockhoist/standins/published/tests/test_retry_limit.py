"""End-to-end tests of the limit on retries, over all hosts of a site."""

import asyncio
import unittest

import aiohttp

from hemlockhoist.base.testing import PausedSocketTestCase
from hemlockhoist.entry import FleetBounds
from hemlockhoist.standins.published import Behaviour, Replica, Site, route

HOSTS = 8
REPLICAS = 8
SECONDS = 16
FAULT_AT_S = 3
WINDOW_S = 10.0
RATIO = 0.2
ALLOWANCE = 54.0
# Time for which one host after the other is the home.
HOME_S = 1.5
ROUTE = route("lookup", "reservas", max_attempts=3)


class RetryLimitTests(PausedSocketTestCase):
    """Each counts what reached the upstreams of a site whose callers send steadily."""

    async def play(self, behaviour, per_s, on_fault=None):
        """Return the repeated arrivals of the worst window, and how many are allowed.

        Parameters
        ==========
        behaviour : Behaviour
            How all upstreams answer from ``FAULT_AT_S`` on.
        per_s : int
        on_fault : coroutine function, optional
            ``on_fault(site)`` runs beside the callers from then on.
        """
        replicas = [Replica(f"i-{number}") for number in range(REPLICAS)]
        bounds = FleetBounds(retry_ratio=RATIO, retry_base=ALLOWANCE)
        async with Site({"reservas": replicas}, [ROUTE], HOSTS, bounds) as site:
            callers = asyncio.create_task(self._send_all(site, per_s))
            await asyncio.sleep(FAULT_AT_S)
            for replica in replicas:
                replica.behaviour = behaviour
            faults = None
            if on_fault is not None:
                faults = asyncio.create_task(on_fault(site))
            await callers
            if faults is not None:
                faults.cancel()
                await asyncio.gather(faults, return_exceptions=True)
        return self._worst(replicas), ALLOWANCE + RATIO * per_s * WINDOW_S

    def _worst(self, replicas):
        received = [item for r in replicas for item in (*r.ran, *r.rejected)]
        received.sort(key=lambda item: item.started_s)
        seen, repeated_s = set(), []
        for item in received:
            attempt_id = item.headers["attempt-id"]
            if attempt_id in seen:
                repeated_s.append(item.started_s)
            seen.add(attempt_id)
        self.assertGreater(len(repeated_s), 5)
        return max(
            sum(start_s <= at_s < start_s + WINDOW_S for at_s in repeated_s)
            for start_s in repeated_s
        )

    async def _send_all(self, site, per_s):
        tasks = []
        for number in range(SECONDS * per_s):
            tasks.append(asyncio.create_task(self._send(site, number)))
            await asyncio.sleep(1 / per_s)
        await asyncio.gather(*tasks)

    async def _send(self, site, number):
        ready = [n for n, host in enumerate(site.hosts) if not host.context.leaving]
        host = ready[number % len(ready)]
        try:
            async with site.call(
                f"/lookup/{number}", host, Attempt_Id=f"p{number}"
            ) as answer:
                await answer.read()
        except aiohttp.ClientError:
            # A host that stops may close the connection.
            pass

    async def _replace_homes(self, site):
        while True:
            await asyncio.sleep(HOME_S)
            running = {
                host.context.identity.host_id: host
                for host in site.hosts
                if not host.context.leaving
            }
            home_id = next(iter(running.values())).context.homes.home_of("")
            home = running.get(home_id)
            if home is not None:
                home.context.leaving = True
                await home.close()
                await site.add_host(len(site.hosts))

    async def test_requests_that_upstreams_turn_away_count_as_retries(self):
        """Guards against upstreams that shed and get each request several times."""
        count, allowed = await self.play(Behaviour.SHEDS, per_s=20)
        self.assertLessEqual(count, allowed)

    async def test_misdirected_requests_count_as_retries(self):
        """Guards against requests that are sent on from one replaced upstream to many."""
        count, allowed = await self.play(Behaviour.MISDIRECTED, per_s=40)
        self.assertLessEqual(count, allowed)

    async def test_requests_that_fail_count_as_retries(self):
        """Guards against upstreams that fail and get several times their load."""
        count, allowed = await self.play(Behaviour.FAILS, per_s=20)
        self.assertLessEqual(count, allowed)

    async def test_homes_in_turn_keep_to_one_limit_on_retries(self):
        """Guards against a new home that grants the retries of its predecessors again."""
        count, allowed = await self.play(Behaviour.FAILS, 8, self._replace_homes)
        self.assertLessEqual(count, allowed)


if __name__ == "__main__":
    unittest.main()
