import asyncio

from hemlockhoist.base.testing import PausedSocketTestCase
from hemlockhoist.standins.published.version_site import (
    BAD_PERMILLE,
    ORDER_S,
    VersionSite,
)

BEGIN_S = 3
# So few requests that a move is not proven within its time.
QUIET_PER_S = 7.0
# From the end of upstreams until their entries have lapsed and a trial has ended.
SETTLE_S = 12
COUNT_S = 6
SERVED_RATIO = 0.9
LONG_ORDER_S = 30


class LoneVersionTests(PausedSocketTestCase):
    """A version on trial that alone is left, as the one that serves is lost."""

    async def check_served(self, site):
        """Check that callers are served now."""
        begin_s = site.now_s
        await asyncio.sleep(COUNT_S)
        self.assertGreaterEqual(site.served_ratio(begin_s), SERVED_RATIO)

    def check_bound(self, site):
        """Check the bound on the versions of all orders."""
        for order in site.orders:
            exposed, allowed = site.count_exposed(order)
            self.assertLessEqual(exposed, allowed, order)

    async def test_sound_version_serves_after_the_old_one_crashed(self):
        """Guards against a service refused for good beside live upstreams."""
        async with VersionSite(requests_per_s=QUIET_PER_S) as site:
            await asyncio.sleep(BEGIN_S)
            await site.order("v2")
            await asyncio.sleep(5)
            await site.crash("v1")
            await asyncio.sleep(SETTLE_S)
            await self.check_served(site)
            await site.wait_for("v2", "completed")

    async def test_bad_version_is_found_out_after_the_old_one_crashed(self):
        """Guards against a bad version that gets all requests, as no other can serve."""
        async with VersionSite(requests_per_s=QUIET_PER_S) as site:
            await asyncio.sleep(BEGIN_S)
            await site.order("v2", BAD_PERMILLE, duration_s=LONG_ORDER_S)
            await asyncio.sleep(5)
            await site.crash("v1")
            await site.wait_for("v2", "rolled_back", limit_s=LONG_ORDER_S)
            await asyncio.sleep(LONG_ORDER_S)
            self.check_bound(site)

    async def test_bad_version_under_load_as_the_old_one_crashes(self):
        async with VersionSite() as site:
            await asyncio.sleep(BEGIN_S)
            await site.order("v2", BAD_PERMILLE, duration_s=LONG_ORDER_S)
            await asyncio.sleep(1.5)
            await site.crash("v1")
            await asyncio.sleep(LONG_ORDER_S)
            self.check_bound(site)

    async def test_old_version_is_lost_in_an_outage(self):
        """Guards against waiting for entries that do not come back."""
        async with VersionSite(requests_per_s=QUIET_PER_S) as site:
            await asyncio.sleep(BEGIN_S)
            await site.order("v2")
            await asyncio.sleep(3)
            outage = asyncio.create_task(site.have_outage(4.5))
            await asyncio.sleep(1)
            await site.crash("v1")
            await outage
            await asyncio.sleep(SETTLE_S)
            await self.check_served(site)

    async def test_old_version_is_back_after_its_crash(self):
        """Guards against a version that keeps all requests by its trial alone."""
        async with VersionSite(requests_per_s=QUIET_PER_S) as site:
            await asyncio.sleep(BEGIN_S)
            await site.order("v2", BAD_PERMILLE, duration_s=LONG_ORDER_S)
            await asyncio.sleep(4)
            await site.crash("v1")
            await asyncio.sleep(SETTLE_S)
            await site.start_replica(site.new_replica("v1"))
            await asyncio.sleep(1)
            await self.check_served(site)
            await asyncio.sleep(ORDER_S)
            self.check_bound(site)

    async def test_version_that_was_rolled_back_does_not_serve_alone(self):
        async with VersionSite() as site:
            await asyncio.sleep(BEGIN_S)
            await site.order("v2", BAD_PERMILLE)
            await site.wait_for("v2", "rolled_back")
            await site.crash("v1")
            await asyncio.sleep(ORDER_S)
            self.check_bound(site)
            await site.start_replica(site.new_replica("v1"))
            await asyncio.sleep(1)
            await self.check_served(site)

    async def test_ordered_version_is_all_that_is_deployed(self):
        """Guards against a bad version completed at once, as nothing else is there."""
        async with VersionSite() as site:
            await asyncio.sleep(BEGIN_S)
            await site.crash("v1")
            await asyncio.sleep(SETTLE_S)
            await site.order("v2", BAD_PERMILLE)
            await asyncio.sleep(ORDER_S)
            self.check_bound(site)
            self.assertFalse(site.has_reported("v2", "completed"))
