import asyncio

from hemlockhoist.base.testing import PausedSocketTestCase
from hemlockhoist.standins.published.version_site import ORDER_S, VersionSite

# So few requests that a move is not proven within its time.
QUIET_PER_S = 7.0
SETTLE_S = 6
COUNT_S = 8
SERVED_RATIO = 0.9


class ReleaseTests(PausedSocketTestCase):
    """Releases of a pool while the move of an order goes on."""

    async def check_served(self, site):
        """Check that callers are served from some seconds after a release on."""
        await asyncio.sleep(SETTLE_S)
        begin_s = site.now_s
        await asyncio.sleep(COUNT_S)
        self.assertGreaterEqual(site.served_ratio(begin_s), SERVED_RATIO)

    async def test_release_of_both_versions_after_the_time_of_an_order(self):
        """Guards against a service refused for good: no end of its move ever comes."""
        async with VersionSite(requests_per_s=QUIET_PER_S) as site:
            await asyncio.sleep(3)
            await site.order("v2")
            await asyncio.sleep(ORDER_S + 3)
            await site.release([*site.deployed["v1"], *site.deployed["v2"]], "v3")
            await self.check_served(site)

    async def test_release_of_both_versions_during_an_order(self):
        """Guards against the same before the time of the order has passed."""
        async with VersionSite(requests_per_s=QUIET_PER_S) as site:
            await asyncio.sleep(3)
            await site.order("v2")
            await asyncio.sleep(4)
            await site.release([*site.deployed["v1"], *site.deployed["v2"]], "v3")
            await self.check_served(site)

    async def test_release_of_the_old_version_alone(self):
        """Guards against a trial version that serves alone, within its bound."""
        async with VersionSite(requests_per_s=QUIET_PER_S) as site:
            await asyncio.sleep(3)
            await site.order("v2")
            await asyncio.sleep(4)
            await site.release(site.deployed["v1"], "v3")
            await self.check_served(site)
