import asyncio

from hemlockhoist.base.testing import PausedSocketTestCase
from hemlockhoist.standins.published.version_site import (
    BAD_PERMILLE,
    ORDER_S,
    VersionSite,
)

BEGIN_S = 3
OUTAGE_S = 4.5
COUNT_S = 4
SERVED_RATIO = 0.97


class OutageTests(PausedSocketTestCase):
    """Outages of the store, after which entries are back one after the other."""

    async def check(self, site):
        """Check the bound on bad versions, that none is completed, and the service."""
        begin_s = site.now_s
        await asyncio.sleep(COUNT_S)
        self.assertGreaterEqual(site.served_ratio(begin_s), SERVED_RATIO)
        for order in site.orders:
            exposed, allowed = site.count_exposed(order)
            self.assertLessEqual(exposed, allowed, order)
            self.assertFalse(site.has_reported(order.version, "completed"))

    async def test_outage_before_the_ordered_version_is_entered(self):
        """Guards against an order completed as the old version is back last."""
        async with VersionSite() as site:
            await asyncio.sleep(BEGIN_S)
            await site.order("v2", BAD_PERMILLE)
            await asyncio.sleep(0.4)
            await site.have_outage(OUTAGE_S, late=("v1",))
            await asyncio.sleep(ORDER_S)
            await self.check(site)

    async def test_outage_during_a_move(self):
        async with VersionSite() as site:
            await asyncio.sleep(BEGIN_S)
            await site.order("v2", BAD_PERMILLE)
            await asyncio.sleep(2.2)
            await site.have_outage(OUTAGE_S, late=("v1",))
            await asyncio.sleep(ORDER_S)
            await self.check(site)

    async def test_outage_after_a_rollback(self):
        """Guards against a bad version that serves while the old one is not listed."""
        async with VersionSite() as site:
            await asyncio.sleep(BEGIN_S)
            await site.order("v2", BAD_PERMILLE)
            await site.wait_for("v2", "rolled_back")
            await site.have_outage(OUTAGE_S, late=("v1",))
            await asyncio.sleep(ORDER_S / 2)
            await self.check(site)

    async def test_outage_right_after_the_order_that_follows_a_rollback(self):
        async with VersionSite() as site:
            await asyncio.sleep(BEGIN_S)
            await site.order("v2", BAD_PERMILLE)
            await site.wait_for("v2", "rolled_back")
            await asyncio.sleep(0.5)
            await site.order("v3", BAD_PERMILLE)
            await site.have_outage(OUTAGE_S, late=("v1",))
            await asyncio.sleep(ORDER_S)
            await self.check(site)

    async def test_outage_after_an_order_back(self):
        """Guards against a serving version that waits for a store that is down."""
        async with VersionSite() as site:
            await asyncio.sleep(BEGIN_S)
            await site.order("v2", BAD_PERMILLE)
            await site.wait_for("v2", "in_progress")
            await asyncio.sleep(0.5)
            await site.order("v1")
            begin_s = site.now_s
            await site.have_outage(OUTAGE_S, late=("v1",))
            await site.wait_for("v1", "completed", limit_s=8)
            self.assertGreaterEqual(site.served_ratio(begin_s), 0.5)
            exposed, allowed = site.count_exposed(site.orders[0])
            self.assertLessEqual(exposed, allowed)
