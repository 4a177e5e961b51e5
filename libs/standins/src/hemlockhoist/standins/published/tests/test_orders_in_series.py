import asyncio

from hemlockhoist.base.testing import PausedSocketTestCase
from hemlockhoist.standins.published.version_site import (
    BAD_PERMILLE,
    ORDER_S,
    REPLICAS,
    VersionSite,
)

BEGIN_S = 3
# From a report to the next order.
PAUSE_S = 1
COUNT_S = 6
SERVED_RATIO = 0.97


class SeriesTests(PausedSocketTestCase):
    """Orders that follow one another, of which some are for bad versions."""

    async def check(self, site, *bad):
        """Check the bound on the bad versions, and that callers are served at last."""
        begin_s = site.now_s
        await asyncio.sleep(COUNT_S)
        self.assertGreaterEqual(site.served_ratio(begin_s), SERVED_RATIO)
        for order in site.orders:
            if order.version in bad:
                exposed, allowed = site.count_exposed(order)
                self.assertLessEqual(exposed, allowed, order)

    async def roll_back(self, site, version):
        """Order a bad version, and wait until it is rolled back and some time longer."""
        await site.order(version, BAD_PERMILLE)
        await site.wait_for(version, "rolled_back")
        await asyncio.sleep(PAUSE_S)

    async def test_order_after_a_rollback(self):
        """Guards against requests for a rolled back version once another is ordered."""
        async with VersionSite() as site:
            await asyncio.sleep(BEGIN_S)
            await self.roll_back(site, "v2")
            await site.order("v3")
            await site.wait_for("v3", "completed")
            await self.check(site, "v2")

    async def test_order_after_a_rollback_of_more_upstreams(self):
        """Guards against the same where the bad version has more upstreams."""
        async with VersionSite() as site:
            await asyncio.sleep(BEGIN_S)
            await site.order("v2", BAD_PERMILLE)
            extra = site.new_replica("v2", BAD_PERMILLE)
            await site.start_replica(extra)
            await site.wait_for("v2", "rolled_back")
            await asyncio.sleep(PAUSE_S)
            await site.order("v3")
            await site.wait_for("v3", "completed")
            await self.check(site, "v2")

    async def test_two_bad_versions_in_a_row(self):
        """Guards against evidence on the first that is forgotten with the second."""
        async with VersionSite() as site:
            await asyncio.sleep(BEGIN_S)
            await self.roll_back(site, "v2")
            await self.roll_back(site, "v3")
            await site.order("v4")
            await site.wait_for("v4", "completed")
            await self.check(site, "v2", "v3")

    async def test_order_amid_the_move_to_a_bad_version(self):
        """Guards against an unproven version that serves as a third one is ordered."""
        async with VersionSite() as site:
            await asyncio.sleep(BEGIN_S)
            await site.order("v2", BAD_PERMILLE)
            await asyncio.sleep(1.8)
            await site.order("v3")
            await site.wait_for("v3", "completed")
            await self.check(site, "v2")

    async def test_bad_order_amid_the_move_to_a_bad_version(self):
        async with VersionSite() as site:
            await asyncio.sleep(BEGIN_S)
            await site.order("v2", BAD_PERMILLE)
            await asyncio.sleep(1.8)
            await site.order("v3", BAD_PERMILLE)
            await asyncio.sleep(ORDER_S)
            await self.check(site, "v2", "v3")

    async def test_mended_version_is_ordered_again(self):
        async with VersionSite() as site:
            await asyncio.sleep(BEGIN_S)
            await self.roll_back(site, "v2")
            for replica in site.deployed["v2"]:
                replica.bad_permille = 0
            await site.order("v2")
            await site.wait_for("v2", "completed")
            self.assertEqual(len(site.deployed["v2"]), REPLICAS)
            await self.check(site)

    async def test_order_back_to_the_serving_version(self):
        """Guards against a bad version that counts as proven as it is taken back."""
        async with VersionSite() as site:
            await asyncio.sleep(BEGIN_S)
            await site.order("v2", BAD_PERMILLE)
            await site.wait_for("v2", "in_progress")
            await asyncio.sleep(PAUSE_S)
            await site.order("v1")
            await site.wait_for("v1", "completed", limit_s=3)
            await self.check(site, "v2")
            self.assertGreaterEqual(site.served_ratio(site.orders[0].begin_s), 0.9)

    async def test_order_back_and_bad_version_again(self):
        async with VersionSite() as site:
            await asyncio.sleep(BEGIN_S)
            await site.order("v2", BAD_PERMILLE)
            await asyncio.sleep(1.8)
            await site.order("v1")
            await asyncio.sleep(1.5)
            await site.order("v2", BAD_PERMILLE)
            await asyncio.sleep(ORDER_S)
            await self.check(site, "v2")
