"""End-to-end tests of a home that is reached late."""

import asyncio
import unittest
import unittest.mock

from hemlockhoist.base.metrics_table import DECISIONS_ALONE
from hemlockhoist.base.testing import PausedSocketTestCase
from hemlockhoist.peers.link import PeerLink
from hemlockhoist.standins.published import Replica, Site, route

HOSTS = 3
# Each way, so that a reply comes after three requests have been sent.
DELAY_S = 0.2
REQUESTS = 20
GAP_S = 0.05


class LateHomeTests(PausedSocketTestCase):
    async def test_hosts_do_not_decide_alone_beside_a_home_that_answers_late(self):
        """Guards against hosts that share out the upstreams while the home stands."""
        replicas = [Replica(f"i-{number}") for number in range(3)]
        routes = [route("lookup", "reservas", timeout_ms=4_000)]
        async with Site({"reservas": replicas}, routes, hosts=HOSTS) as site:
            send = PeerLink.send

            def send_late(link, message):
                asyncio.get_running_loop().call_later(DELAY_S, send, link, message)

            with unittest.mock.patch.object(PeerLink, "send", send_late):
                statuses = await self._call(site)
            alone = [
                host.context.metrics.totals[f"{DECISIONS_ALONE.name}.reservas"]
                for host in site.hosts
            ]
        self.assertEqual(alone, [0] * HOSTS)
        self.assertEqual(statuses, [200] * REQUESTS)

    async def _call(self, site):
        tasks = []
        for number in range(REQUESTS):
            tasks.append(asyncio.create_task(self._send(site, number)))
            await asyncio.sleep(GAP_S)
        return await asyncio.gather(*tasks)

    async def _send(self, site, number):
        headers = {"Attempt_Id": f"p{number}", "Deadline_Ms": "4000"}
        async with site.call(f"/lookup/{number}", number % HOSTS, **headers) as answer:
            return answer.status
