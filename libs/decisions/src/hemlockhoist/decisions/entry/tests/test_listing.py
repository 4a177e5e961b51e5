import unittest

from hemlockhoist.decisions import Upstream, UpstreamState
from hemlockhoist.decisions.entry import UpstreamListing
from hemlockhoist.decisions.entry.listing import LAPSE_MS


def upstream(name, pool="halls", state=UpstreamState.LIVE):
    return Upstream(
        upstream_id=name, pool=pool, version="v1", address="127.0.0.1:1", state=state
    )


def names(listing, now_ms):
    return sorted(item.upstream_id for item in listing.usable(now_ms))


class ListingTests(unittest.TestCase):
    def setUp(self):
        self.listing = UpstreamListing()
        self.listing.replace([upstream("a"), upstream("b")], 0)

    def test_all_entries_lapse_together_with_the_store(self):
        """Every lookup is refused though all replicas are well.

        The store goes away, the leases of all entries end, and for a moment after its
        return the list is empty. The replicas enter themselves again within seconds.
        """
        self.listing.replace([], 1_000)
        self.assertEqual(names(self.listing, 1_100), ["a", "b"])
        self.listing.put(upstream("a"))
        self.assertEqual(names(self.listing, 1_200), ["a"])

    def test_what_does_not_come_back_is_given_up(self):
        self.listing.replace([], 1_000)
        self.assertEqual(self.listing.next_change_ms(), 1_000 + LAPSE_MS)
        self.assertEqual(names(self.listing, 1_000 + LAPSE_MS), [])

    def test_one_that_vanishes_beside_others_gets_nothing_more(self):
        """A replica that was removed gets bookings that nobody answers."""
        self.listing.drop("a", 1_000)
        self.assertEqual(names(self.listing, 1_000), ["b"])
        self.assertIsNone(self.listing.get("a", 1_000))

    def test_one_that_said_it_leaves_is_not_kept(self):
        self.listing.replace([upstream("a", state=UpstreamState.LEAVING)], 500)
        self.listing.drop("b", 0)
        self.listing.drop("a", 1_000)
        self.assertNotIn("a", names(self.listing, 1_000))

    def test_get_agrees_with_usable(self):
        self.listing.put(upstream("c", pool="labels"))
        self.listing.replace([upstream("c", pool="labels")], 1_000)
        for now_ms in (1_000, 1_000 + LAPSE_MS - 1, 1_000 + LAPSE_MS):
            usable = names(self.listing, now_ms)
            for name in ("a", "b", "c", "d"):
                found = self.listing.get(name, now_ms) is not None
                self.assertEqual(found, name in usable, (name, now_ms))
