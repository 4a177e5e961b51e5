import asyncio

from hemlockhoist.base.testing import PausedSocketTestCase
from hemlockhoist.standins.published.version_site import (
    BAD_PERMILLE,
    ORDER_S,
    VersionSite,
)

BEGIN_S = 3
COUNT_S = 6
SERVED_RATIO = 0.97


class KilledHostsTests(PausedSocketTestCase):
    """All hosts are killed, and others start that know only what is stored."""

    async def check(self, site):
        """Check the bound on bad versions, and that callers are served at last."""
        begin_s = site.now_s
        await asyncio.sleep(COUNT_S)
        self.assertGreaterEqual(site.served_ratio(begin_s), SERVED_RATIO)
        for order in site.orders:
            exposed, allowed = site.count_exposed(order)
            self.assertLessEqual(exposed, allowed, order)

    async def test_kill_after_a_rollback(self):
        """Guards against hosts that start without the record, and grant by the list."""
        async with VersionSite() as site:
            await asyncio.sleep(BEGIN_S)
            await site.order("v2", BAD_PERMILLE)
            await site.wait_for("v2", "rolled_back")
            await site.kill_hosts()
            await asyncio.sleep(1.2)
            await site.order("v3", BAD_PERMILLE)
            await asyncio.sleep(ORDER_S + 1)
            await self.check(site)
            late = [x for x in site.reports if x.version == "v3"]
            self.assertEqual(late[-1].state, "rolled_back")

    async def test_no_request_reaches_a_halted_version_after_a_kill(self):
        """Guards against requests for a bad version until its halt has been read."""
        async with VersionSite() as site:
            await asyncio.sleep(BEGIN_S)
            await site.order("v2", BAD_PERMILLE)
            await site.wait_for("v2", "rolled_back")
            await site.kill_hosts()
            begin_s = site.now_s
            await asyncio.sleep(3)
            bad = [x for x in site.all_replicas if x.version == "v2"]
            late = [at_s for x in bad for at_s in x.arrivals_s if at_s >= begin_s]
            self.assertEqual(late, [])

    async def test_kill_during_a_move(self):
        async with VersionSite() as site:
            await asyncio.sleep(BEGIN_S)
            await site.order("v2", BAD_PERMILLE)
            await asyncio.sleep(2.5)
            await site.kill_hosts()
            await asyncio.sleep(ORDER_S)
            await self.check(site)

    async def test_kill_between_an_order_and_its_first_upstream(self):
        """Guards against a version whose order nobody remembers as the next is given."""
        async with VersionSite() as site:
            await asyncio.sleep(BEGIN_S)
            await site.order("v2", BAD_PERMILLE, start_s=(0.6, 1.0))
            await asyncio.sleep(0.4)
            await site.kill_hosts()
            await site.order("v3", BAD_PERMILLE)
            await asyncio.sleep(ORDER_S + 1)
            await self.check(site)

    async def test_kills_around_the_next_order(self):
        async with VersionSite() as site:
            await asyncio.sleep(BEGIN_S)
            await site.order("v2", BAD_PERMILLE)
            await asyncio.sleep(2.2)
            await site.kill_hosts()
            await asyncio.sleep(1.2)
            await site.order("v3", BAD_PERMILLE)
            await asyncio.sleep(0.8)
            await site.kill_hosts()
            await asyncio.sleep(ORDER_S + 1)
            await self.check(site)
