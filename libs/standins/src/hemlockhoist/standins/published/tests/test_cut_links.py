"""End-to-end tests of hosts that are cut off from upstreams which others reach."""

import asyncio

from hemlockhoist.base.testing import PausedSocketTestCase
from hemlockhoist.standins.published import Replica, Site, route
from hemlockhoist.standins.published.links import HostLinks, LinkMode

LOOKUP = route("check-free", "reservas")
HOSTS = 3
CUT_HOST = 0
REQUEST_COUNT = 30
REQUEST_GAP_S = 0.1
# From this time after the cut, its callers are to be served like those of the others.
KNOWN_AFTER_S = 1.0
SERVED_FRACTION = 2 / 3


def new_replicas(count=3):
    return [Replica(f"s{number}") for number in range(count)]


async def send_to_each(site, count=REQUEST_COUNT):
    """Send lookups to all hosts at a steady rate; return the statuses by host."""

    async def send(number, host):
        path = f"/check-free/{number}"
        async with site.call(path, host=host, Attempt_Id=f"h{host}-{number}") as answer:
            await answer.read()
            return answer.status

    tasks = {host: [] for host in range(HOSTS)}
    for number in range(count):
        for host, started in tasks.items():
            started.append(asyncio.create_task(send(number, host)))
        await asyncio.sleep(REQUEST_GAP_S)
    return {host: await asyncio.gather(*started) for host, started in tasks.items()}


async def count_served(mode):
    """Cut a host off from all upstreams; return how many requests each host served."""
    replicas = new_replicas()
    async with Site({"reservas": replicas}, [LOOKUP], HOSTS) as site:
        links = HostLinks(site.hosts[CUT_HOST])
        links.cut(replicas, mode)
        await send_to_each(site, int(KNOWN_AFTER_S / REQUEST_GAP_S))
        statuses = await send_to_each(site)
    return {host: found.count(200) for host, found in statuses.items()}


class CutHostTests(PausedSocketTestCase):
    async def test_hosts_with_links_serve_all_beside_one_that_lost_them(self):
        """Guards against upstreams that get no work as one host can't reach them."""
        for mode in (LinkMode.REFUSED, LinkMode.RESET):
            served = await count_served(mode)
            with self.subTest(mode=mode, served=served):
                self.assertEqual(served[1], REQUEST_COUNT)
                self.assertEqual(served[2], REQUEST_COUNT)

    async def test_callers_of_a_host_without_links_are_served(self):
        """Guards against a host that refuses all for want of links that others have."""
        for mode in LinkMode:
            served = await count_served(mode)
            with self.subTest(mode=mode, served=served):
                self.assertGreaterEqual(
                    served[CUT_HOST], SERVED_FRACTION * REQUEST_COUNT
                )
                self.assertEqual(served[1], REQUEST_COUNT)
                self.assertEqual(served[2], REQUEST_COUNT)

    async def test_only_helper_may_have_lost_a_link_itself(self):
        """Guards against a helper that is left out for the one upstream it lost."""
        replicas = new_replicas()
        async with Site({"reservas": replicas}, [LOOKUP], HOSTS) as site:
            for number, lost in ((0, replicas), (1, replicas), (2, replicas[:1])):
                HostLinks(site.hosts[number]).cut(lost, LinkMode.SILENT)
            await send_to_each(site, int(KNOWN_AFTER_S / REQUEST_GAP_S))
            statuses = await send_to_each(site)
        served = {host: found.count(200) for host, found in statuses.items()}
        for count in served.values():
            self.assertGreaterEqual(count, SERVED_FRACTION * REQUEST_COUNT, served)
