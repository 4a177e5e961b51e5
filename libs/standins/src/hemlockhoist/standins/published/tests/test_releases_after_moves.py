import asyncio

from hemlockhoist.base.testing import PausedSocketTestCase
from hemlockhoist.standins.published.version_site import (
    BAD_PERMILLE,
    DRAIN_S,
    ORDER_S,
    ROLLBACK_DRAIN_S,
    VersionSite,
)

BEGIN_S = 3
# From a rollback until all upstreams of its version have gone.
GONE_S = ROLLBACK_DRAIN_S + DRAIN_S + 1
COUNT_S = 6
SERVED_RATIO = 0.97
REQUESTS_PER_S = 20.0


class ReleasesAfterMovesTests(PausedSocketTestCase):
    """Releases without an order of versions that an earlier order has named."""

    async def check_served(self, site):
        """Check that callers are served now."""
        begin_s = site.now_s
        await asyncio.sleep(COUNT_S)
        self.assertGreaterEqual(site.served_ratio(begin_s), SERVED_RATIO)

    async def roll_back(self, site):
        """Order a bad version, and wait until its upstreams have gone."""
        await asyncio.sleep(BEGIN_S)
        await site.order("v2", BAD_PERMILLE)
        await site.wait_for("v2", "rolled_back")
        await asyncio.sleep(GONE_S)

    async def test_mended_version_is_released_under_the_name_of_a_bad_one(self):
        """Guards against a service refused for good, as its name was once halted."""
        async with VersionSite(requests_per_s=REQUESTS_PER_S) as site:
            await self.roll_back(site)
            await site.release(site.deployed["v1"], "v2")
            await asyncio.sleep(DRAIN_S)
            await self.check_served(site)

    async def test_mended_version_is_released_and_all_hosts_are_killed(self):
        async with VersionSite(requests_per_s=REQUESTS_PER_S) as site:
            await self.roll_back(site)
            await site.release(site.deployed["v1"], "v2")
            await site.kill_hosts()
            await asyncio.sleep(ORDER_S)
            await self.check_served(site)

    async def test_upstreams_of_a_bad_version_start_again(self):
        """Guards against a bad version that serves as its upstreams have crashed."""
        async with VersionSite(requests_per_s=REQUESTS_PER_S) as site:
            await asyncio.sleep(BEGIN_S)
            await site.order("v2", BAD_PERMILLE, duration_s=30)
            await site.wait_for("v2", "rolled_back")
            await site.crash("v2")
            await asyncio.sleep(GONE_S)
            begin_s = site.now_s
            await site.start_replica(site.new_replica("v2", BAD_PERMILLE))
            await self.check_served(site)
            bad = [x for x in site.all_replicas if x.version == "v2"]
            late = [at_s for x in bad for at_s in x.arrivals_s if at_s >= begin_s]
            self.assertEqual(late, [])

    async def test_replaced_version_is_released_again(self):
        """Guards against released upstreams that are idle until the last step."""
        async with VersionSite() as site:
            await asyncio.sleep(BEGIN_S)
            await site.order("v2")
            await site.wait_for("v2", "completed")
            await asyncio.sleep(DRAIN_S)
            begin_s = site.now_s
            await site.release(site.deployed["v2"][:2], "v1")
            await self.check_served(site)
            back = [x for x in site.all_replicas if x.version == "v1"]
            late = [at_s for x in back for at_s in x.arrivals_s if at_s >= begin_s]
            self.assertGreater(len(late), 20)

    async def test_release_after_an_order_for_the_serving_version(self):
        """Guards against a move back to a version that was ordered as it served."""
        async with VersionSite(requests_per_s=REQUESTS_PER_S) as site:
            await asyncio.sleep(BEGIN_S)
            await site.order("v1")
            await site.wait_for("v1", "completed", limit_s=5)
            await site.release(site.deployed["v1"], "v3")
            await asyncio.sleep(DRAIN_S)
            await self.check_served(site)

    async def test_version_released_amid_a_move_is_replaced_with_the_old_one(self):
        """Guards against requests for upstreams that are stopped on completion."""
        async with VersionSite(requests_per_s=50.0) as site:
            await asyncio.sleep(BEGIN_S)
            await site.order("v2")
            await asyncio.sleep(4)
            await site.release(site.deployed["v1"][:1], "v3")
            await site.wait_for("v2", "completed")
            begin_s = site.now_s
            await self.check_served(site)
            others = [x for x in site.all_replicas if x.version != "v2"]
            late = [at_s for x in others for at_s in x.arrivals_s if at_s >= begin_s]
            self.assertEqual(late, [])
