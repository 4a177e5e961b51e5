"""End-to-end tests of evacuations, cold starts and regions."""

import asyncio

from hemlockhoist.base.testing import PausedSocketTestCase
from hemlockhoist.entry import FleetBounds
from hemlockhoist.standins.published import Replica, Site, route
from hemlockhoist.standins.published.site import KEY

LOOKUP = route("check-free", "reservas")
REPORT = route("conflict-report", "asistente", "streaming", resumable=True)
BOUNDS = FleetBounds(cold_overshoot=1.5, cold_tolerance=5)
COLD = {"reservas": {"cold_start_s": 3.0, "cold_per_s": 6.6}}
# A new home gives cold replicas nothing for this long.
HOME_CAUTION_S = 1.4
# An order takes effect on all hosts within a few round trips.
IN_FORCE_S = 0.15


async def register_in_zones(site, service, zones, **fields):
    """Register the replicas of a service, each in its zone."""
    for replica, zone in zip(site.replicas[service], zones, strict=True):
        await site.register_replica(service, replica, zone=zone, **fields)
    await asyncio.sleep(IN_FORCE_S)


def max_per_second(requests):
    """Return the largest number of requests that began within one second."""
    begun_s = [item.started_s for item in requests]
    counts = (sum(start <= item < start + 1.0 for item in begun_s) for start in begun_s)
    return max(counts, default=0)


async def send_lookups(site, count, host=0):
    """Send ``count`` lookups and return their statuses."""
    statuses = []
    for number in range(count):
        async with site.call(f"/check-free/{number}", host=host) as answer:
            await answer.read()
            statuses.append(answer.status)
    return statuses


class EvacuationTests(PausedSocketTestCase):
    async def asyncSetUp(self):
        self.replicas = {"reservas": [Replica("a1"), Replica("b1")]}
        site = Site(self.replicas, [LOOKUP], hosts=3)
        self.site = await self.enterAsyncContext(site)
        await register_in_zones(self.site, "reservas", "ab")

    def ran(self, number=0):
        return len(self.replicas["reservas"][number].ran)

    async def test_evacuated_zone_gets_no_requests_until_evacuation_ends(self):
        """Guards against requests to a zone that an operator evacuated for repairs."""
        await self.site.evacuate("a")
        await asyncio.sleep(IN_FORCE_S)
        before = self.ran()
        for host in range(3):
            self.assertEqual(set(await send_lookups(self.site, 6, host)), {200})
        self.assertEqual(self.ran(), before)
        await self.site.end_evacuation("a")
        await asyncio.sleep(IN_FORCE_S)
        for host in range(3):
            await send_lookups(self.site, 8, host)
        self.assertGreater(self.ran(), before)

    async def test_host_that_joins_later_observes_evacuation(self):
        """Guards against a host that starts in an evacuation and misses the order."""
        await self.site.evacuate("a")
        await self.site.add_host(3)
        await self.site.wait_ready()
        before = self.ran()
        self.assertEqual(set(await send_lookups(self.site, 6, 3)), {200})
        self.assertEqual(self.ran(), before)

    async def test_home_learns_of_evacuation_from_another_host(self):
        """Guards against grants for the zone by a home that reads the order late."""
        contexts = [host.context for host in self.site.hosts]
        home_id = contexts[0].homes.home_of("reservas")
        home = next(c for c in contexts if c.identity.host_id == home_id)
        other = next(c for c in contexts if c is not home)
        other.store_view.on_domain_evacuated("a", 10_000)
        before = self.ran()
        statuses = await send_lookups(self.site, 8, contexts.index(other))
        self.assertEqual(set(statuses), {200})
        self.assertEqual(self.ran(), before)
        self.assertEqual(home.store_view.evacuated.names(), ("a",))

    async def test_requests_are_refused_when_all_zones_are_evacuated(self):
        await self.site.evacuate("a")
        await self.site.evacuate("b")
        await asyncio.sleep(IN_FORCE_S)
        before = self.ran(0), self.ran(1)
        async with self.site.call("/check-free/1") as answer:
            self.assertEqual(answer.status, 503)
            self.assertGreater(float(answer.headers["Retry-After"]), 0)
        self.assertEqual((self.ran(0), self.ran(1)), before)

    async def test_malformed_evacuation_rows_are_ignored(self):
        await self.site.store.put("op", "evacuate/a", b"soon")
        await self.site.evacuate("nowhere")
        await asyncio.sleep(IN_FORCE_S)
        before = self.ran()
        await send_lookups(self.site, 12)
        self.assertGreater(self.ran(), before)


class StreamTests(PausedSocketTestCase):
    async def test_open_stream_in_evacuated_zone_completes(self):
        """Guards against an evacuation that cuts open streams."""
        replicas = {"asistente": [Replica("a1", events=8)]}
        replicas["asistente"][0].event_ms = 60
        async with Site(replicas, [REPORT]) as site:
            await register_in_zones(site, "asistente", "a")
            path = "/conflict-report/1"
            async with site.call(path, method="POST", body=b"x") as answer:
                await answer.content.readuntil(b"\n\n")
                await site.evacuate("a")
                rest = await answer.content.read()
            self.assertEqual(rest.count(b"data:"), 7)


class ColdTests(PausedSocketTestCase):
    async def test_cold_replica_load_stays_within_its_limit(self):
        """Guards against a restarted replica that crashes under the full load."""
        replicas = {"reservas": [Replica("cold"), Replica("warm")]}
        replicas["reservas"][1].delay_ms = 30
        site = Site(replicas, [LOOKUP], hosts=2, bounds=BOUNDS, services=COLD)
        async with site:
            cold, warm = replicas["reservas"]
            await asyncio.sleep(HOME_CAUTION_S)
            row = {**cold.row("reservas"), "cold_remaining_ms": 3_000, "born": 2}
            await site.store.put("servers", "cold", row)
            await asyncio.sleep(IN_FORCE_S)
            before = len(cold.ran)
            callers = (send_lookups(site, 12, number % 2) for number in range(6))
            for statuses in await asyncio.gather(*callers):
                self.assertEqual(set(statuses), {200})
            self.assertIn(max_per_second(cold.ran[before:]), range(1, 15))
            self.assertGreater(len(warm.ran), 40)


class RegionTests(PausedSocketTestCase):
    async def test_body_stays_in_allowed_regions(self):
        """Guards against a customer's body in a region that is not allowed."""
        replicas = {"reservas": [Replica("north"), Replica("south")]}
        bound = route("check-free", "reservas", allowed_regions=["north", "south"])
        tenants = [
            {"name": "aulas", "api_keys": [KEY], "allowed_regions": ["south", "west"]}
        ]
        async with Site(replicas, [bound], tenants=tenants) as site:
            await register_in_zones(site, "reservas", "ac")
            before = len(replicas["reservas"][0].ran)
            self.assertEqual(set(await send_lookups(site, 8)), {200})
            self.assertEqual(len(replicas["reservas"][0].ran), before)
            await site.store.put("servers", "south", None)
            await asyncio.sleep(2)
            self.assertEqual(await send_lookups(site, 1), [503])
            self.assertEqual(len(replicas["reservas"][0].ran), before)
