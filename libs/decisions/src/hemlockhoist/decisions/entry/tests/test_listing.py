import unittest

from hemlockhoist.decisions import Upstream, UpstreamState
from hemlockhoist.decisions.entry import UpstreamListing
from hemlockhoist.decisions.entry.listing import MAX_REMOVED, VANISHED_GRACE_MS


def upstream(
    name,
    pool="halls",
    state=UpstreamState.LIVE,
    listed_version=0,
    started=1,
    version="v1",
):
    return Upstream(
        upstream_id=name,
        pool=pool,
        version=version,
        address="127.0.0.1:1",
        state=state,
        listed_version=listed_version,
        started_unix_ms=started,
    )


def names(listing, now_ms):
    return sorted(item.upstream_id for item in listing.usable(now_ms))


class ListingTests(unittest.TestCase):
    def setUp(self):
        self.listing = UpstreamListing()
        self.listing.replace([upstream("a"), upstream("b")], 0)

    def test_upstreams_stay_usable_when_all_entries_expire(self):
        """Guards against refusing every lookup although all replicas are healthy.

        During an outage of the store the leases of all entries expire, and the list is
        empty for a moment after its recovery. The replicas register again within
        seconds.
        """
        self.listing.replace([], 1_000)
        self.assertEqual(names(self.listing, 1_100), ["a", "b"])
        self.listing.put(upstream("a"))
        self.assertEqual(names(self.listing, 1_200), ["a"])

    def test_upstreams_of_a_version_stay_usable_as_another_is_back_first(self):
        """Guards against a version on trial that serves alone right after an outage."""
        self.listing.replace([], 1_000)
        self.listing.put(upstream("n", version="v2"))
        self.assertEqual(names(self.listing, 1_100), ["a", "b", "n"])
        self.listing.put(upstream("a"))
        self.assertEqual(names(self.listing, 1_200), ["a", "n"])

    def test_upstream_not_listed_again_stops_being_usable(self):
        self.listing.replace([], 1_000)
        self.assertEqual(self.listing.next_change_ms(), 1_000 + VANISHED_GRACE_MS)
        self.assertEqual(names(self.listing, 1_000 + VANISHED_GRACE_MS), [])

    def test_upstream_that_vanishes_beside_others_gets_no_work(self):
        """Guards against sending bookings to a removed replica."""
        self.listing.drop("a", 1_000)
        self.assertEqual(names(self.listing, 1_000), ["b"])
        self.assertIsNone(self.listing.get("a", 1_000))

    def test_upstream_that_announced_leaving_is_not_kept(self):
        self.listing.replace([upstream("a", state=UpstreamState.LEAVING)], 500)
        self.listing.drop("b", 0)
        self.listing.drop("a", 1_000)
        self.assertNotIn("a", names(self.listing, 1_000))

    def test_get_agrees_with_usable(self):
        self.listing.put(upstream("c", pool="labels"))
        self.listing.replace([upstream("c", pool="labels")], 1_000)
        for now_ms in (1_000, 1_000 + VANISHED_GRACE_MS - 1, 1_000 + VANISHED_GRACE_MS):
            usable = names(self.listing, now_ms)
            for name in ("a", "b", "c", "d"):
                found = self.listing.get(name, now_ms) is not None
                self.assertEqual(found, name in usable, (name, now_ms))


class RemovalReportTests(unittest.TestCase):
    """A home that missed a change of the list is notified by a host that has it."""

    def setUp(self):
        self.listing = UpstreamListing()
        self.listing.put(upstream("a", listed_version=5))
        self.listing.put(upstream("b", listed_version=6))

    def test_newer_report_removes_an_entry_and_older_rows_do_not_restore_it(self):
        self.assertTrue(self.listing.mark_removed("a", 9, 1_000))
        self.assertEqual(names(self.listing, 1_000), ["b"])
        self.listing.put(upstream("a", listed_version=8))
        self.assertEqual(names(self.listing, 1_000), ["b"])
        self.listing.put(upstream("a", listed_version=10))
        self.assertEqual(names(self.listing, 1_000), ["a", "b"])

    def test_report_of_a_host_that_is_behind_changes_nothing(self):
        """Guards against removing an upstream that the reporter has not read yet."""
        self.assertFalse(self.listing.mark_removed("a", 5, 1_000))
        self.assertFalse(self.listing.mark_removed("unknown", 9, 1_000))
        self.assertEqual(names(self.listing, 1_000), ["a", "b"])

    def test_removed_version_of_leaving_and_dropped_upstreams(self):
        self.listing.put(upstream("a", state=UpstreamState.LEAVING, listed_version=7))
        self.listing.drop("b", 1_000, 8)
        self.assertEqual(self.listing.removed_version("a"), 7)
        self.assertEqual(self.listing.removed_version("b"), 8)
        self.assertIsNone(self.listing.removed_version("never listed"))

    def test_removed_version_of_an_upstream_missing_from_a_new_list(self):
        """The list is at least as new as its newest entry, and may be no newer."""
        self.listing.replace([upstream("b", listed_version=6)], 1_000)
        self.assertEqual(self.listing.removed_version("a"), 6)

    def test_number_of_kept_removals_is_bounded(self):
        for number in range(2 * MAX_REMOVED):
            self.listing.drop(f"u{number}", 1_000, number)
        self.assertIsNone(self.listing.removed_version("u0"))
        self.assertEqual(self.listing.removed_version(f"u{2 * MAX_REMOVED - 1}"), 2_047)


class AnnouncedLeavingTests(unittest.TestCase):
    """An upstream says in its answers that it leaves, and the list says nothing."""

    def setUp(self):
        self.listing = UpstreamListing()
        self.listing.replace([upstream("a", listed_version=5), upstream("b")], 0)
        self.assertTrue(self.listing.announce_leaving("a", 1))

    def state(self, now_ms=0):
        return self.listing.get("a", now_ms).state

    def test_repeated_announcement_is_no_news(self):
        self.assertIs(self.state(), UpstreamState.LEAVING)
        self.assertFalse(self.listing.announce_leaving("a", 1))
        self.assertEqual(self.listing.count_announced(), {"halls": 1})

    def test_newer_entry_of_the_same_process_does_not_end_it(self):
        """Guards against an entry that was written before the announcement."""
        self.listing.put(upstream("a", listed_version=9))
        self.assertIs(self.state(), UpstreamState.LEAVING)

    def test_entry_of_the_next_process_ends_it(self):
        """Guards against a restarted upstream that gets no requests ever again."""
        self.listing.put(upstream("a", listed_version=9, started=2))
        self.assertIs(self.state(), UpstreamState.LIVE)
        self.assertFalse(self.listing.announce_leaving("a", 1))
        self.assertIs(self.state(), UpstreamState.LIVE)

    def test_it_outlasts_a_lapse_of_the_list(self):
        self.listing.replace([], 1_000)
        self.assertIsNone(self.listing.get("a", 1_000))
        self.listing.replace([upstream("a", listed_version=12)], 2_000)
        self.assertIs(self.state(2_000), UpstreamState.LEAVING)

    def test_lapsed_upstream_that_announces_it_is_not_kept(self):
        self.listing.replace([], 1_000)
        self.assertIsNotNone(self.listing.get("b", 1_000))
        self.assertTrue(self.listing.announce_leaving("b", 1))
        self.assertIsNone(self.listing.get("b", 1_000))

    def test_unknown_upstream_is_ignored(self):
        self.assertFalse(self.listing.announce_leaving("z", 1))
        self.assertEqual(len(self.listing), 2)
