from hemlockhoist.base import DeclarationError, PropertyViolation, Refused
from hemlockhoist.base.testing import PausedTestCase
from hemlockhoist.decisions import Upstream, UpstreamState
from hemlockhoist.entry.knowledge import PROOF_MARGIN_MS
from hemlockhoist.entry.settings import FleetBounds
from hemlockhoist.entry.tests.builders import KnowingHost, table

LIMIT_MS = FleetBounds().revocation_ms - PROOF_MARGIN_MS


def upstream(name, state=UpstreamState.LIVE):
    return Upstream(
        upstream_id=name, pool="halls", version="v1", address="127.0.0.1:1", state=state
    )


class RoutesTests(PausedTestCase):
    async def asyncSetUp(self):
        self.host = KnowingHost()
        self.knowledge = self.host.knowledge

    async def test_older_routes_never_come_back_in_force(self):
        """A key that was taken away opens halls again.

        The store reads behind for a while, and gives an older version of the routes
        to a host that has the newer one.
        """
        self.host.take_routes(table(version=9))
        self.host.take_routes(table(version=6))
        self.assertEqual(self.knowledge.routes.version, 9)
        self.assertEqual(len(self.host.tables), 1)

    async def test_unreadable_routes_leave_the_others_in_force(self):
        self.host.take_routes(table(version=9))
        self.host.take_routes(DeclarationError("half a row"))
        self.assertEqual(self.knowledge.routes.version, 9)

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
        host = KnowingHost()
        host.know_all()
        host.boot_ms += LIMIT_MS - 1
        self.assertTrue(host.knowledge.is_fresh())
        host.boot_ms += 60_000
        self.assertFalse(host.knowledge.is_fresh())
        with self.assertRaises(Refused):
            host.knowledge.check_fresh()


class UpstreamsTests(PausedTestCase):
    async def test_upstream_that_leaves_between_grant_and_send_gets_nothing(self):
        """A replica that drains gets a booking and stops before it answers."""
        host = KnowingHost()
        host.take_upstreams(upstream("a"), upstream("b"))
        host.knowledge.check_upstream("a")
        host.take_upstreams(upstream("a", UpstreamState.LEAVING), upstream("b"))
        for name in ("a", "gone"):
            with self.assertRaises(Refused):
                host.knowledge.check_upstream(name)
        host.knowledge.check_upstream("b")
