"""End-to-end test of an upstream that reports how slow it is."""

import asyncio

from hemlockhoist.base.testing import PausedSocketTestCase
from hemlockhoist.standins.published import Replica, Site, route

LOOKUP = route("check-free", "reservas")
HOSTS = 2
WORK_MS = 40
SLOW_PERCENT = 400
# Until an old report of it no longer counts.
DECAY_S = 3.0
REQUESTS, REQUEST_GAP_S = 60, 0.025


class SlowdownTests(PausedSocketTestCase):
    async def send_all(self, site):
        tasks = []
        for number in range(REQUESTS):
            tasks.append(asyncio.create_task(self.send(site, number)))
            await asyncio.sleep(REQUEST_GAP_S)
        self.assertEqual(set(await asyncio.gather(*tasks)), {200})

    async def send(self, site, number):
        async with site.call(
            f"/check-free/{number}", host=number % HOSTS, Attempt_Id=f"a{number}"
        ) as answer:
            await answer.read()
            return answer.status

    def usual_ms(self, site):
        """Return the learned usual time of each replica at the pool's home."""
        homes = [host.context.homes.find("reservas") for host in site.hosts]
        scheduler = next(home for home in homes if home is not None).scheduler
        tracker = scheduler._upstreams.tracker
        return {
            replica.replica_id: tracker.get(replica.replica_id).usual_pace.token_ms
            for replica in site.replicas["reservas"]
        }

    async def test_slow_upstream_gets_less_work_until_it_reports_the_usual_speed(self):
        """Guards against reports that are lost between the wire and the pool's home."""
        replicas = [Replica(f"s{number}", slots=2) for number in range(3)]
        slow, *others = replicas
        for replica in replicas:
            replica.delay_ms, replica.slowdown_percent = WORK_MS, 100
        async with Site({"reservas": replicas}, [LOOKUP], HOSTS) as site:
            slow.slowdown_percent = SLOW_PERCENT
            await self.send_all(site)
            counts = [len(replica.ran) for replica in replicas]
            self.assertLess(counts[0], min(counts[1:]) / 2)
            usual_ms = self.usual_ms(site)
            self.assertLess(usual_ms["s0"], 2 * max(usual_ms["s1"], usual_ms["s2"]))
            slow.slowdown_percent = 100
            await asyncio.sleep(DECAY_S)
            await self.send_all(site)
            self.assertGreater(len(slow.ran) - counts[0], REQUESTS / 6)
            for replica in others:
                replica.slowdown_percent = "soon"
            await self.send_all(site)
