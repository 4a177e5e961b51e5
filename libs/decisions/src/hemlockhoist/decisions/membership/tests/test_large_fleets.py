import collections
import random
import unittest

import msgspec

from hemlockhoist.decisions.entry import find_readers, reader_for
from hemlockhoist.decisions.membership import Membership
from hemlockhoist.decisions.membership.tests.fleet import list_of, make_member
from hemlockhoist.messages.membership import Health, MemberUpdate, Probe

HOSTS, DOMAINS = 195, 6
WEAK_MILLICORES, STRONG_MILLICORES = 516, 2_150
# One host in this many is strong.
STRONG_EVERY = 13
# What a caller tries of the addresses that it is told.
TRIED = 4


def unlike_members():
    """Return hosts of unlike strength, spread over failure domains."""
    found = []
    for number in range(HOSTS):
        is_high_capacity = number % STRONG_EVERY == 0
        found.append(
            msgspec.structs.replace(
                make_member(number, domains=DOMAINS),
                processor_millicores=STRONG_MILLICORES
                if is_high_capacity
                else WEAK_MILLICORES,
            )
        )
    return found


def membership(own, members, seed):
    """Return what a host knows that heard of all others, in its own order."""
    others = random.Random(seed).sample(members, len(members))
    host = Membership.from_config(own, seed)
    host.set_list(list_of(others), 0)
    tell(host, others)
    return host


def tell(host, members, health=Health.ALIVE):
    """Let a host hear of the health of others."""
    updates = tuple(MemberUpdate(member=item, health=health) for item in members)
    sender = MemberUpdate(member=members[0], health=health)
    host.on_message(Probe(number=0, sender=sender, updates=updates), 0)


class LargeFleetTests(unittest.TestCase):
    def setUp(self):
        self.members = unlike_members()
        self.hosts = [
            membership(own, self.members, seed)
            for seed, own in enumerate(self.members[:20])
        ]

    def home(self, host):
        return host.homes("cell", 0)[0]

    def test_all_hosts_name_one_home_that_is_strong(self):
        """Two homes give the same places, or a host of half a core is the home."""
        homes = {self.home(host).address for host in self.hosts}
        self.assertEqual(len(homes), 1)
        for home in self.hosts[0].homes("cell", 0):
            self.assertEqual(home.processor_millicores, STRONG_MILLICORES)

    def test_loss_of_a_failure_domain_leaves_one_home_on_the_hosts_that_stay(self):
        """The home is lost with a sixth of the fleet, and two hosts take its place."""
        former = self.home(self.hosts[0])
        gone = [m for m in self.members if m.failure_domain == former.failure_domain]
        left = [m for m in self.members if m not in gone]
        hosts = [host for host in self.hosts if host.own.member in left]
        for host in hosts:
            tell(host, gone, Health.GONE)
        homes = {self.home(host).address for host in hosts}
        self.assertEqual(len(homes), 1)
        self.assertTrue(homes <= {member.address for member in left})

    def test_loss_of_a_failure_domain_leaves_the_others_their_readers(self):
        """Each host asks the store itself when one domain is lost: 160 calls at once."""
        before = find_readers(self.members)
        self.assertEqual(len(before), DOMAINS)
        left = [m for m in self.members if m.failure_domain != "d0"]
        after = find_readers(left)
        self.assertEqual(after, {k: v for k, v in before.items() if k != "d0"})
        asking = [m for m in left if reader_for(left, m) is None]
        self.assertEqual(len(asking), DOMAINS - 1)

    def test_last_host_of_all_serves_by_itself(self):
        """One host is left of 195, and waits for a home or reader that is gone."""
        host = self.hosts[0]
        tell(host, self.members[1:], Health.GONE)
        self.assertEqual(host.homes("cell", 0), (self.members[0],))
        self.assertEqual(host.caller_addresses(), [self.members[0].caller_address])
        self.assertIsNone(reader_for([self.members[0]], self.members[0]))

    def test_callers_are_spread_over_all_hosts(self):
        """Callers meet at a few of the 195 hosts, whose connections run out."""
        named = collections.Counter()
        for host in self.hosts:
            for _ in range(50):
                named.update(host.caller_addresses()[:TRIED])
        fair = len(self.hosts) * 50 * TRIED / HOSTS
        self.assertEqual(len(named), HOSTS)
        self.assertLess(max(named.values()), 2.5 * fair)


if __name__ == "__main__":
    unittest.main()
