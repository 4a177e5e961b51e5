import asyncio

import msgspec

from hemlockhoist.base import (
    DeclarationError,
    PropertyViolation,
    Refused,
    UpstreamCold,
    UpstreamEvacuated,
)
from hemlockhoist.base.testing import PausedTestCase
from hemlockhoist.decisions import Upstream, UpstreamState
from hemlockhoist.declarations import RoutedPool, RouteTable
from hemlockhoist.entry.settings import FleetBounds
from hemlockhoist.entry.store_view import PROOF_MARGIN_MS
from hemlockhoist.entry.tests.builders import (
    HostFixture,
    customer,
    reading,
    route,
    table,
)

LIMIT_MS = FleetBounds().revocation_ms - PROOF_MARGIN_MS


def upstream(name, state=UpstreamState.LIVE):
    return Upstream(
        upstream_id=name, pool="halls", version="v1", address="127.0.0.1:1", state=state
    )


def in_domain(name, state=UpstreamState.LIVE):
    found = upstream(name, state)
    return msgspec.structs.replace(found, failure_domain=name[0])


def cold(name, until_ms, version=1):
    found = upstream(name)
    return msgspec.structs.replace(
        found, cold_until_ms=until_ms, listed_version=version
    )


class RoutesTests(PausedTestCase):
    async def asyncSetUp(self):
        self.host = HostFixture()
        self.store_view = self.host.store_view

    async def test_older_routes_never_come_back_in_force(self):
        """A key that was taken away opens halls again.

        The store reads behind for a while, and gives an older version of the routes
        to a host that has the newer one.
        """
        self.host.take_routes(table(version=9))
        self.host.take_routes(table(version=6))
        self.assertEqual(self.store_view.routes.version, 9)
        self.assertEqual(len(self.host.tables), 1)

    async def test_unreadable_routes_leave_the_others_in_force(self):
        self.host.take_routes(table(version=9))
        self.host.take_routes(DeclarationError("half a row"))
        self.assertEqual(self.store_view.routes.version, 9)

    async def test_same_version_again_changes_nothing(self):
        self.host.take_routes(table(version=9))
        try:
            self.host.take_routes(table(version=9))
        except PropertyViolation:
            self.fail("a repeated reading is no step back")
        self.assertEqual(len(self.host.tables), 1)


class FreshnessTests(PausedTestCase):
    async def test_suspension_makes_the_proof_old(self):
        """A host wakes after a minute and serves a key taken away meanwhile."""
        host = HostFixture()
        host.know_all()
        host.boot_ms += LIMIT_MS - 1
        self.assertTrue(host.store_view.is_fresh())
        host.boot_ms += 60_000
        self.assertFalse(host.store_view.is_fresh())
        with self.assertRaises(Refused):
            host.store_view.check_fresh()


class UpstreamsTests(PausedTestCase):
    async def test_upstream_that_leaves_between_grant_and_send_gets_nothing(self):
        """A replica that drains gets a booking and stops before it answers."""
        host = HostFixture()
        host.take_upstreams(upstream("a"), upstream("b"))
        host.store_view.check_upstream("a", False)
        host.take_upstreams(upstream("a", UpstreamState.LEAVING), upstream("b"))
        for name in ("a", "gone"):
            with self.assertRaises(Refused):
                host.store_view.check_upstream(name, False)
        host.store_view.check_upstream("b", False)


class EvacuationTests(PausedTestCase):
    async def asyncSetUp(self):
        self.host = HostFixture()
        self.store_view = self.host.store_view
        self.host.take_upstreams(in_domain("a1"), in_domain("b1"))

    def states(self):
        return {item.upstream_id: item.state for item in self.store_view.usable()}

    async def test_evacuated_domain_gets_nothing_until_it_is_taken_back(self):
        """Requests reach a zone long after its operator has evacuated it."""
        self.host.take_evacuation("a", version=5)
        self.assertIs(self.states()["a1"], UpstreamState.EVACUATED)
        self.assertIs(self.states()["b1"], UpstreamState.LIVE)
        with self.assertRaises(UpstreamEvacuated) as caught:
            self.store_view.check_upstream("a1", False)
        self.assertEqual(caught.exception.version, 5)
        self.store_view.check_upstream("b1", False)
        self.host.take_evacuation("a", version=7, is_evacuated=False)
        self.assertIs(self.states()["a1"], UpstreamState.LIVE)
        self.store_view.check_upstream("a1", False)

    async def test_whole_reading_without_the_order_ends_it(self):
        self.host.take_evacuation("a", version=5)
        self.store_view.apply_config_rows(reading((), 4), True)
        self.assertIs(self.states()["a1"], UpstreamState.EVACUATED)
        self.store_view.apply_config_rows(reading((), 8), True)
        self.assertIs(self.states()["a1"], UpstreamState.LIVE)

    async def test_another_hosts_word_counts_where_it_is_newer(self):
        """A home that reads late goes on granting an evacuated zone."""
        self.store_view.on_domain_evacuated("a", 5)
        self.assertIs(self.states()["a1"], UpstreamState.EVACUATED)
        self.host.take_evacuation("a", version=7, is_evacuated=False)
        self.store_view.on_domain_evacuated("a", 5)
        self.assertIs(self.states()["a1"], UpstreamState.LIVE)

    async def test_upstream_that_leaves_from_an_evacuated_domain_leaves(self):
        self.host.take_evacuation("a", version=5)
        self.host.take_upstreams(in_domain("a1", UpstreamState.LEAVING))
        self.assertIs(self.states()["a1"], UpstreamState.LEAVING)


class ColdTests(PausedTestCase):
    async def asyncSetUp(self):
        self.host = HostFixture()
        self.store_view = self.host.store_view
        pool = RoutedPool(name="halls", max_connections=9, cold_requests_per_s=4.0)
        self.host.take_routes(RouteTable(3, [route()], [pool], [customer()]))

    async def test_grant_of_a_home_that_does_not_know_is_not_used(self):
        """A cold engine gets a warm one's load from a home that reads late."""
        self.host.take_upstreams(cold("a1", self.host.clock.now_ms() + 900))
        with self.assertRaises(UpstreamCold) as caught:
            self.store_view.check_upstream("a1", False)
        self.assertEqual(caught.exception.cold_ms, 900)
        self.store_view.check_upstream("a1", True)
        await asyncio.sleep(0.95)
        self.store_view.check_upstream("a1", False)

    async def test_home_believes_a_host_that_has_read_a_newer_entry(self):
        self.host.take_upstreams(cold("a1", 0, version=4))
        self.store_view.on_upstream_cold("a1", 4, 900)
        self.assertEqual(self.store_view.usable()[0].cold_until_ms, 0)
        self.store_view.on_upstream_cold("a1", 5, 900)
        until_ms = self.host.clock.now_ms() + 900
        self.assertEqual(self.store_view.usable()[0].cold_until_ms, until_ms)

    async def test_entry_that_is_read_again_is_not_cold_for_longer(self):
        self.host.take_upstreams(cold("a1", 900, version=4))
        self.host.take_upstreams(cold("a1", 1_500, version=4))
        self.assertEqual(self.store_view.usable()[0].cold_until_ms, 900)
