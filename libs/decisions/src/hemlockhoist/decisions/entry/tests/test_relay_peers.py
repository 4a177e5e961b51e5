import collections
import unittest

from hemlockhoist.decisions.entry import RelayCause, RelayPeers
from hemlockhoist.decisions.entry.relay_peers import LOCAL_IN_FLIGHT, MAX_CANDIDATES
from hemlockhoist.messages import Member

POOL = "halls"


def member(number, failure_domain="a", relay_address="ip:1"):
    return Member(
        address=f"h{number}",
        incarnation=f"i{number}",
        failure_domain=failure_domain,
        relay_address=relay_address,
    )


class RelayPeersTests(unittest.TestCase):
    def setUp(self):
        self.peers = RelayPeers("a", seed=1)

    def first(self, members, now_ms=0, upstream_id="u1"):
        found = self.peers.candidates(members, POOL, upstream_id, now_ms)
        return found[0].host_id if found else None

    def test_host_of_the_same_domain_comes_first(self):
        """Guards against charged traffic between domains that is not needed."""
        members = [member(1, "b"), member(2, "a"), member(3, "c")]
        self.assertEqual(self.first(members), "h2")

    def test_hosts_of_other_domains_take_over_from_a_busy_one(self):
        """Guards against one helper that becomes the next host to serve nobody."""
        members = [member(1, "b"), member(2, "a")]
        for _ in range(LOCAL_IN_FLIGHT):
            self.peers.begin("h2")
        self.assertEqual(self.first(members), "h1")
        self.peers.end("h2")
        self.assertEqual(self.first(members), "h2")

    def test_domain_without_links_is_left_for_others(self):
        """Guards against asking the hosts of a domain that is cut off as a whole."""
        members = [member(1), member(2), member(3, "b")]
        for host_id in ("h1", "h2"):
            self.peers.record_refusal(host_id, POOL, "u1", RelayCause.NO_LINKS, 0)
        self.assertEqual(self.first(members, 10), "h3")
        self.assertIsNone(self.first(members[:2], 10))
        self.assertEqual(self.peers.wait_ms(POOL, 10), 990)
        self.assertIn(self.first(members, 1_000), ("h1", "h2"))

    def test_refusal_holds_for_its_pool(self):
        self.peers.record_refusal("h1", "desk", "u1", RelayCause.NO_LINKS, 0)
        self.assertEqual(self.first([member(1)]), "h1")

    def test_host_without_one_link_is_asked_for_the_others(self):
        """Guards against a fleet whose only helper is left out for one lost link."""
        self.peers.record_refusal("h1", POOL, "u1", RelayCause.NO_LINK, 0)
        self.assertIsNone(self.first([member(1)], 10, "u1"))
        self.assertEqual(self.first([member(1)], 10, "u2"), "h1")
        self.peers.record_refusal("h1", POOL, "u3", RelayCause.NO_LINKS, 10)
        self.assertIsNone(self.first([member(1)], 20, "u2"))

    def test_witness_of_a_dead_upstream_may_relay_for_others(self):
        self.peers.record_refusal("h1", POOL, "u1", RelayCause.UNREACHABLE, 0)
        self.assertEqual(self.first([member(1)]), "h1")

    def test_hosts_of_an_earlier_release_are_not_asked(self):
        self.assertIsNone(self.first([member(1, relay_address="")]))

    def test_load_of_a_lost_domain_is_spread_over_a_large_fleet(self):
        """Guards against many hosts that ask the same few, at 1,300 hosts."""
        members = [member(number, f"d{number % 5}") for number in range(1_083)]
        used = collections.Counter()
        for host in range(217):
            peers = RelayPeers("lost", seed=host)
            for _ in range(31):
                candidates = peers.candidates(members, POOL, "u1", 0)
                self.assertEqual(len(candidates), MAX_CANDIDATES)
                used[candidates[0].host_id] += 1
                peers.begin(candidates[0].host_id)
        # 6,727 requests over 1,083 hosts are 6.2 each.
        self.assertLess(max(used.values()), 25)
