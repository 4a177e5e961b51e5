"""End-to-end tests of upstreams that fail if they turn too many requests away."""

import asyncio

from hemlockhoist.base.testing import PausedSocketTestCase
from hemlockhoist.standins.published import Replica, Site, route

LOOKUP = route("check-free", "reservas", timeout_ms=4_000, target_latency_ms=400)
HOSTS = 3
SLOTS = 2
REPLICAS = 3
WORK_MS = 60
# Requests at once, several times what the upstreams have slots for.
BURST = 40
# Falls that are tolerated while a service is brittle: 2 + a tenth of its replicas.
ALLOWED_FALLS = 2 + REPLICAS // 10


def brittle_replicas(rejections_per_s):
    replicas = [Replica(f"s{number}", slots=SLOTS) for number in range(REPLICAS)]
    for replica in replicas:
        replica.brittle_at = rejections_per_s
        replica.delay_ms = WORK_MS
    return replicas


def count_falls(replicas):
    return sum(len(replica.falls) for replica in replicas)


class BrittleUpstreamTests(PausedSocketTestCase):
    async def send(self, site, number, count=1, leaves_after_s=None):
        """Send lookups to the hosts in turn; return their statuses, 0 for none."""

        async def one(index):
            path = f"/check-free/{number}-{index}"
            call = site.call(path, host=index % HOSTS, Attempt_Id=f"b{number}-{index}")
            try:
                async with asyncio.timeout(leaves_after_s), call as answer:
                    await answer.read()
                    return answer.status
            except TimeoutError:
                return 0

        return await asyncio.gather(*(one(index) for index in range(count)))

    async def test_bursts_do_not_make_upstreams_fall_over(self):
        """Guards against a wave of upstreams that fall over one after the other."""
        for rejections_per_s in (0, 3):
            replicas = brittle_replicas(rejections_per_s)
            async with Site({"reservas": replicas}, [LOOKUP], HOSTS) as site:
                await self.send(site, 0, HOSTS * REPLICAS)
                statuses = []
                for number in range(1, 5):
                    statuses += await self.send(site, number, BURST)
                    await asyncio.sleep(0.2)
            with self.subTest(rejections_per_s=rejections_per_s):
                self.assertEqual(count_falls(replicas), 0)
                self.assertEqual(sum(len(item.rejected) for item in replicas), 0)
                self.assertGreater(statuses.count(200), 0.25 * len(statuses))

    async def test_callers_who_leave_do_not_make_upstreams_fall_over(self):
        """Guards against slots that are used again while abandoned work goes on."""
        replicas = brittle_replicas(1)
        async with Site({"reservas": replicas}, [LOOKUP], HOSTS) as site:
            await self.send(site, 0, HOSTS * REPLICAS)
            for replica in replicas:
                replica.delay_ms = 400
            for number in range(1, 16):
                await self.send(site, number, SLOTS * REPLICAS, leaves_after_s=0.08)
            await asyncio.sleep(1)
        self.assertLessEqual(count_falls(replicas), ALLOWED_FALLS)

    async def test_loss_of_the_home_does_not_make_upstreams_fall_over(self):
        """Guards against hosts that each decide alone and together send too much."""
        replicas = brittle_replicas(2)
        async with Site({"reservas": replicas}, [LOOKUP], HOSTS) as site:
            await self.send(site, 0, HOSTS * REPLICAS)
            for replica in replicas:
                replica.delay_ms = 250
            home = site.hosts[0].context.homes.home_of("reservas")
            (lost,) = (h for h in site.hosts if h.context.bus.address == home)
            left = [h for h in site.hosts if h is not lost]
            calls = asyncio.create_task(self.send_to(site, left, 30))
            await asyncio.sleep(0.2)
            await lost.context.bus.close()
            statuses = await calls
        self.assertLessEqual(count_falls(replicas), ALLOWED_FALLS)
        self.assertGreater(statuses.count(200), len(statuses) // 2)

    async def send_to(self, site, hosts, rounds):
        indexes = [site.hosts.index(host) for host in hosts]

        async def one(number, index):
            path = f"/check-free/h{number}-{index}"
            attempt_id = f"h{number}-{index}"
            async with site.call(path, host=index, Attempt_Id=attempt_id) as answer:
                await answer.read()
                return answer.status

        tasks = []
        for number in range(rounds):
            tasks += [asyncio.create_task(one(number, index)) for index in indexes]
            await asyncio.sleep(0.05)
        return await asyncio.gather(*tasks)

    async def test_withdrawn_word_ends_the_caution(self):
        replicas = brittle_replicas(1)
        async with Site({"reservas": replicas}, [LOOKUP], HOSTS) as site:
            await self.send(site, 0, HOSTS * REPLICAS)
            limits = site.hosts[0].context.brittle_limits
            self.assertGreater(limits.count_by_pool()["reservas"], 0)
            for replica in replicas:
                replica.brittle_at = None
            for number in range(1, 4):
                await self.send(site, number, HOSTS * REPLICAS)
            for host in site.hosts:
                counts = host.context.brittle_limits.count_by_pool()
                self.assertEqual(counts.get("reservas", 0), 0)

    async def test_word_that_cannot_be_read_changes_nothing(self):
        replicas = brittle_replicas(1)
        for replica in replicas:
            replica.brittle_at = "soon"
        async with Site({"reservas": replicas}, [LOOKUP], HOSTS) as site:
            statuses = await self.send(site, 0, REPLICAS)
            counts = site.hosts[0].context.brittle_limits.count_by_pool()
        self.assertEqual(set(statuses), {200})
        self.assertEqual(counts, {})
