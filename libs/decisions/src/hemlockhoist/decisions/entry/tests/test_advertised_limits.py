import unittest

from hemlockhoist.decisions import Upstream
from hemlockhoist.decisions.entry import AdvertisedLimits
from hemlockhoist.decisions.entry.advertised_limits import MAX_REPORTED
from hemlockhoist.decisions.incarnations import GONE_TTL_MS
from hemlockhoist.messages import NO_LIMIT


def upstream(upstream_id, started_unix_ms=1):
    return Upstream(
        upstream_id=upstream_id,
        pool="halls",
        version="v1",
        address="ip:1",
        started_unix_ms=started_unix_ms,
    )


class AdvertisedLimitsTests(unittest.TestCase):
    def setUp(self):
        self.limits = AdvertisedLimits()
        self.limits.set_listed([upstream("u1"), upstream("u2")], 0)

    def record(self, requests_per_s, upstream_id="u1", now_ms=0):
        return self.limits.record("halls", upstream_id, requests_per_s, now_ms)

    def test_changes_are_reported_once(self):
        self.assertEqual(
            [self.record(value) for value in (NO_LIMIT, 1.5, 1.5, 1.2, NO_LIMIT)],
            [False, True, False, True, True],
        )
        self.assertEqual(self.limits.count_by_pool(), {"halls": 0})

    def test_unreadable_limit_leaves_the_known_one(self):
        """Guards against an upstream in need that is flooded after a garbled header."""
        self.record(1.5)
        self.assertFalse(self.record(None))
        self.assertEqual(self.limits.count_by_pool(), {"halls": 1})
        self.assertFalse(self.record(None, "u2"))

    def test_latest_limits_of_a_pool_are_reported_first(self):
        """Guards against a new home that a thousand hosts send all they ever heard."""
        for number in range(2 * MAX_REPORTED):
            self.record(1.5, f"u{number}", now_ms=number)
        self.record(2.5, "u0", now_ms=1_000)
        self.limits.record("labels", "other", 1.0, 1_000)
        reported = self.limits.report("halls", 1_010)
        self.assertEqual(len(reported), MAX_REPORTED)
        newest = reported[0]
        self.assertEqual(
            (newest.upstream_id, newest.per_s, newest.age_ms), ("u0", 2.5, 10)
        )

    def test_limits_of_gone_and_restarted_upstreams_are_forgotten(self):
        self.record(1.5, "u1")
        self.record(1.5, "u2")
        listed = [upstream("u1"), upstream("u2", started_unix_ms=2)]
        self.limits.set_listed(listed, 0)
        self.assertEqual(self.limits.count_by_pool(), {"halls": 1})
        self.limits.set_listed([], 1_000)
        self.assertEqual(self.limits.count_by_pool(), {"halls": 1})
        self.limits.set_listed([], 1_000 + GONE_TTL_MS)
        self.assertEqual(self.limits.count_by_pool(), {})

    def test_limit_outlasts_a_lapse_of_the_list(self):
        """Guards against an upstream that is flooded after an outage of the store.

        All entries lapse in the outage, and are listed again within two seconds.
        """
        self.record(1.5)
        self.limits.set_listed([], 1_000)
        self.limits.set_listed([upstream("u1"), upstream("u2")], 3_000)
        self.assertEqual(self.limits.count_by_pool(), {"halls": 1})
