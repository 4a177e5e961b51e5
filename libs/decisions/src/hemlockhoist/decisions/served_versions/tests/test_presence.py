import doctest
import unittest

from hemlockhoist.decisions import Upstream, UpstreamState
from hemlockhoist.decisions.served_versions import (
    StoreUptime,
    VersionPresence,
    presence,
)
from hemlockhoist.decisions.served_versions.tests.builders import ORDER

LONG_MS = 60_000


def upstream(name, version, pool="halls", state=UpstreamState.LIVE, listed_version=1):
    return Upstream(
        upstream_id=name,
        pool=pool,
        version=version,
        address="10.0.0.1:80",
        failure_domain="a",
        state=state,
        listed_version=listed_version,
    )


class PresenceTests(unittest.TestCase):
    def setUp(self):
        self.presence = VersionPresence()

    def observe(self, *upstreams, at_ms=0):
        self.presence.observe(upstreams, at_ms)

    def pool(self, at_ms, stable_ms=LONG_MS):
        return self.presence.pool("halls", at_ms, stable_ms)

    def test_leaving_upstreams_and_other_pools_do_not_count(self):
        self.observe(
            upstream("a", "v1"),
            upstream("b", "v1", state=UpstreamState.LEAVING),
            upstream("c", "v2", pool="other"),
        )
        self.assertEqual(self.pool(0).deployed, {"v1": 1})

    def test_upstreams_of_an_evacuated_domain_are_deployed_and_not_live(self):
        self.observe(upstream("a", "v1", state=UpstreamState.EVACUATED))
        found = self.pool(0)
        self.assertEqual((found.deployed, found.live), ({"v1": 1}, frozenset()))

    def test_version_that_vanished_is_gone_after_a_while_only(self):
        """Guards against a version taken for gone as its entries have expired."""
        self.observe(upstream("a", "v1"))
        self.observe(at_ms=10)
        self.assertEqual(self.pool(500).missing, {"v1"})
        self.assertFalse(self.pool(500).is_gone("v1"))
        self.assertTrue(self.pool(2_000).is_gone("v1"))

    def test_version_is_not_gone_shortly_after_an_outage(self):
        """Guards against the same where the first reading after it shows no entry."""
        self.observe(upstream("a", "v1"))
        self.observe(at_ms=10)
        self.assertFalse(self.pool(2_400, stable_ms=2_390).is_gone("v1"))
        self.assertFalse(self.pool(2_400, stable_ms=0).is_gone("v1"))
        self.assertTrue(self.pool(3_100, stable_ms=3_090).is_gone("v1"))

    def test_version_that_is_gone_stays_so_in_a_later_outage(self):
        self.observe(upstream("a", "v1"))
        self.observe(at_ms=10)
        self.assertTrue(self.pool(5_000).is_gone("v1"))
        self.assertTrue(self.pool(9_000, stable_ms=0).is_gone("v1"))

    def test_version_that_is_back_is_not_gone(self):
        self.observe(upstream("a", "v1"))
        self.observe(at_ms=10)
        self.assertTrue(self.pool(5_000).is_gone("v1"))
        self.observe(upstream("b", "v1"), at_ms=5_010)
        self.assertFalse(self.pool(5_020).is_gone("v1"))

    def test_version_whose_upstreams_announced_that_they_leave_is_gone_at_once(self):
        self.observe(upstream("a", "v1"))
        self.observe(upstream("a", "v1", state=UpstreamState.LEAVING), at_ms=10)
        self.assertTrue(self.pool(20).is_gone("v1"))

    def test_last_one_leaves_while_others_have_vanished(self):
        """Guards against entries that expired, and are taken for announced leaves."""
        self.observe(upstream("a", "v1"), upstream("b", "v1"))
        self.observe(upstream("a", "v1"), at_ms=10)
        self.observe(upstream("a", "v1", state=UpstreamState.LEAVING), at_ms=20)
        self.assertFalse(self.pool(30).is_gone("v1"))

    def test_version_that_was_never_listed_is_gone_once_the_list_is_settled(self):
        self.assertFalse(self.pool(0, stable_ms=2_900).is_gone("v1"))
        self.assertTrue(self.pool(0, stable_ms=3_000).is_gone("v1"))

    def test_age_of_a_version_survives_that_its_entries_are_written_anew(self):
        """Guards against a version that counts as ordered as it is listed again."""
        self.observe(upstream("a", "v2", listed_version=5))
        self.observe(at_ms=10)
        self.observe(upstream("a", "v2", listed_version=9), at_ms=500)
        self.assertTrue(self.pool(510).is_older("v2", ORDER))

    def test_version_that_comes_back_after_it_was_gone_is_as_new_as_its_entries(self):
        self.observe(upstream("a", "v2", listed_version=5))
        self.observe(at_ms=10)
        self.assertTrue(self.pool(5_000).is_gone("v2"))
        self.observe(upstream("b", "v2", listed_version=9), at_ms=5_010)
        self.assertFalse(self.pool(5_020).is_older("v2", ORDER))


class UptimeTests(unittest.TestCase):
    def setUp(self):
        self.uptime = StoreUptime()
        for at_ms in range(0, 10_001, 1_000):
            self.uptime.record_reading(at_ms, at_ms)

    def test_readings_without_a_gap(self):
        self.assertEqual(self.uptime.stable_ms(10_500), 10_500)

    def test_gap_between_readings(self):
        """Guards against an outage that no call of this host has met."""
        self.uptime.record_reading(12_600, 12_600)
        self.assertEqual(self.uptime.stable_ms(12_700), 100)

    def test_gap_on_the_clock_of_the_store_alone(self):
        """Guards against readings that another host passes on late."""
        self.uptime.record_reading(13_000, 11_000)
        self.assertEqual(self.uptime.stable_ms(11_100), 100)

    def test_no_reading_for_a_while(self):
        self.assertEqual(self.uptime.stable_ms(12_100), 0)

    def test_failed_call(self):
        self.uptime.record_failure()
        self.assertEqual(self.uptime.stable_ms(10_100), 0)
        self.uptime.record_reading(10_200, 10_200)
        self.assertEqual(self.uptime.stable_ms(10_300), 100)

    def test_examples(self):
        self.assertEqual(doctest.testmod(presence).failed, 0)
