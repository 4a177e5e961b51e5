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
    encoded,
    reading,
    route,
    table,
)
from hemlockhoist.store import StoreRow

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

    async def test_older_routes_are_never_applied(self):
        """Guards against accepting a revoked key again.

        The store lags behind for a while, and returns an older version of the routes to
        a host that has the newer one.
        """
        self.host.apply_routes(table(version=9))
        self.host.apply_routes(table(version=6))
        self.assertEqual(self.store_view.routes.version, 9)
        self.assertEqual(len(self.host.tables), 1)

    async def test_unreadable_routes_are_ignored(self):
        self.host.apply_routes(table(version=9))
        self.host.apply_routes(DeclarationError("half a row"))
        self.assertEqual(self.store_view.routes.version, 9)

    async def test_repeated_version_changes_nothing(self):
        self.host.apply_routes(table(version=9))
        try:
            self.host.apply_routes(table(version=9))
        except PropertyViolation:
            self.fail("a repeated reading was treated as an older version")
        self.assertEqual(len(self.host.tables), 1)

    async def test_order_that_fails_does_not_hold_back_the_routes(self):
        """Guards against routes that are skipped for a bad row beside them."""
        rows = [
            StoreRow(key="move/halls", value=b"order", version=8),
            StoreRow(key="config", value=encoded(table(version=9)), version=9),
        ]
        self.store_view._on_order = self.fail_with_an_error
        self.store_view.apply_config_rows(reading(rows, 9), False)
        self.assertEqual(self.store_view.routes.version, 9)

    async def test_row_whose_decoder_fails_is_refused_alone(self):
        """Guards against upstreams that are never known for one row beside theirs."""
        decode = self.store_view._platform.decode_upstream

        def decode_or_fail(row, now_ms):
            return self.fail_with_an_error(row) if row.key == "odd" else decode(row, 0)

        self.store_view._platform.decode_upstream = decode_or_fail
        rows = [
            StoreRow(key=name, value=upstream(name), version=1)
            for name in ("u1", "odd", "u2")
        ]
        for is_snapshot in (True, False):
            self.store_view.apply_upstream_rows(reading(rows, 1), is_snapshot)
            names = {item.upstream_id for item in self.store_view.usable()}
            self.assertEqual(names, {"u1", "u2"})

    def fail_with_an_error(self, order):
        raise ValueError("an order that nobody expected")


class FreshnessTests(PausedTestCase):
    async def test_suspension_ages_the_proof(self):
        """Guards against accepting a key that was revoked during a suspension."""
        host = HostFixture()
        host.apply_all()
        host.boot_ms += LIMIT_MS - 1
        self.assertTrue(host.store_view.is_fresh())
        host.boot_ms += 60_000
        self.assertFalse(host.store_view.is_fresh())
        with self.assertRaises(Refused):
            host.store_view.check_fresh()


class CheckUpstreamTests(PausedTestCase):
    async def test_upstream_that_leaves_after_the_grant_is_refused(self):
        """Guards against a booking sent to an upstream that is about to stop."""
        host = HostFixture()
        host.apply_upstreams(upstream("a"), upstream("b"))
        host.store_view.check_upstream("a", False)
        host.apply_upstreams(upstream("a", UpstreamState.LEAVING), upstream("b"))
        for name in ("a", "gone"):
            with self.assertRaises(Refused):
                host.store_view.check_upstream(name, False)
        host.store_view.check_upstream("b", False)


class EvacuationTests(PausedTestCase):
    async def asyncSetUp(self):
        self.host = HostFixture()
        self.store_view = self.host.store_view
        self.host.apply_upstreams(in_domain("a1"), in_domain("b1"))

    def states(self):
        return {item.upstream_id: item.state for item in self.store_view.usable()}

    async def test_evacuated_domain_is_refused_until_the_evacuation_ends(self):
        """Guards against requests to a failure domain long after its evacuation."""
        self.host.apply_evacuation("a", version=5)
        self.assertIs(self.states()["a1"], UpstreamState.EVACUATED)
        self.assertIs(self.states()["b1"], UpstreamState.LIVE)
        with self.assertRaises(UpstreamEvacuated) as caught:
            self.store_view.check_upstream("a1", False)
        self.assertEqual(caught.exception.version, 5)
        self.store_view.check_upstream("b1", False)
        self.host.apply_evacuation("a", version=7, is_evacuated=False)
        self.assertIs(self.states()["a1"], UpstreamState.LIVE)
        self.store_view.check_upstream("a1", False)

    async def test_full_reading_without_the_order_ends_the_evacuation(self):
        self.host.apply_evacuation("a", version=5)
        self.store_view.apply_config_rows(reading((), 4), True)
        self.assertIs(self.states()["a1"], UpstreamState.EVACUATED)
        self.store_view.apply_config_rows(reading((), 8), True)
        self.assertIs(self.states()["a1"], UpstreamState.LIVE)

    async def test_report_of_another_host_applies_if_newer(self):
        """Guards against a home that reads late and grants an evacuated domain."""
        self.store_view.on_domain_evacuated("a", 5)
        self.assertIs(self.states()["a1"], UpstreamState.EVACUATED)
        self.host.apply_evacuation("a", version=7, is_evacuated=False)
        self.store_view.on_domain_evacuated("a", 5)
        self.assertIs(self.states()["a1"], UpstreamState.LIVE)

    async def test_leaving_upstream_of_an_evacuated_domain_stays_leaving(self):
        self.host.apply_evacuation("a", version=5)
        self.host.apply_upstreams(in_domain("a1", UpstreamState.LEAVING))
        self.assertIs(self.states()["a1"], UpstreamState.LEAVING)


class ColdTests(PausedTestCase):
    async def asyncSetUp(self):
        self.host = HostFixture()
        self.store_view = self.host.store_view
        pool = RoutedPool(name="halls", max_connections=9, cold_requests_per_s=4.0)
        self.host.apply_routes(RouteTable(3, [route()], [pool], [customer()]))

    async def test_grant_of_a_home_unaware_of_a_cold_upstream_is_refused(self):
        """Guards against a home that reads late and overloads a cold upstream."""
        self.host.apply_upstreams(cold("a1", self.host.clock.now_ms() + 900))
        with self.assertRaises(UpstreamCold) as caught:
            self.store_view.check_upstream("a1", False)
        self.assertEqual(caught.exception.cold_ms, 900)
        self.store_view.check_upstream("a1", True)
        await asyncio.sleep(0.95)
        self.store_view.check_upstream("a1", False)

    async def test_report_of_a_cold_upstream_applies_if_newer(self):
        self.host.apply_upstreams(cold("a1", 0, version=4))
        self.store_view.on_upstream_cold("a1", 4, 900)
        self.assertEqual(self.store_view.usable()[0].cold_until_ms, 0)
        self.store_view.on_upstream_cold("a1", 5, 900)
        until_ms = self.host.clock.now_ms() + 900
        self.assertEqual(self.store_view.usable()[0].cold_until_ms, until_ms)

    async def test_repeated_row_does_not_extend_the_cold_period(self):
        self.host.apply_upstreams(cold("a1", 900, version=4))
        self.host.apply_upstreams(cold("a1", 1_500, version=4))
        self.assertEqual(self.store_view.usable()[0].cold_until_ms, 900)
