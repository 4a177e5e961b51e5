import collections
import random
import unittest

import msgspec

from hemlockhoist.decisions.entry import find_readers, reader_for
from hemlockhoist.decisions.membership import Membership
from hemlockhoist.decisions.membership.tests.fleet import listed_hosts, new_member
from hemlockhoist.messages.membership import Health, MemberUpdate, Probe

HOSTS, DOMAINS = 195, 6
LOW_CAPACITY_MILLICORES, HIGH_CAPACITY_MILLICORES = 516, 2_150
# One in this many hosts has high capacity.
HIGH_CAPACITY_EVERY = 13
# Number of the returned addresses that a caller tries.
ADDRESSES_TRIED = 4


def heterogeneous_members():
    """Return hosts of different capacity, spread over failure domains."""
    found = []
    for number in range(HOSTS):
        is_high_capacity = number % HIGH_CAPACITY_EVERY == 0
        found.append(
            msgspec.structs.replace(
                new_member(number, domains=DOMAINS),
                processor_millicores=HIGH_CAPACITY_MILLICORES
                if is_high_capacity
                else LOW_CAPACITY_MILLICORES,
            )
        )
    return found


def membership(own, members, seed):
    """Return the view of a host that knows all others, in an order of its own."""
    others = random.Random(seed).sample(members, len(members))
    host = Membership.from_config(own, seed)
    host.set_list(listed_hosts(others), 0)
    send_updates(host, others)
    return host


def send_updates(host, members, health=Health.ALIVE):
    """Send a host updates on the health of others."""
    updates = tuple(MemberUpdate(member=item, health=health) for item in members)
    sender = MemberUpdate(member=members[0], health=health)
    host.on_message(Probe(number=0, sender=sender, updates=updates), 0)


class LargeFleetTests(unittest.TestCase):
    def setUp(self):
        self.members = heterogeneous_members()
        self.hosts = [
            membership(own, self.members, seed)
            for seed, own in enumerate(self.members[:20])
        ]

    def home(self, host):
        return host.homes("cell", 0)[0]

    def test_all_hosts_agree_on_one_home_of_high_capacity(self):
        """Guards against two homes, and against a home with half a core."""
        homes = {self.home(host).address for host in self.hosts}
        self.assertEqual(len(homes), 1)
        for home in self.hosts[0].homes("cell", 0):
            self.assertEqual(home.processor_millicores, HIGH_CAPACITY_MILLICORES)

    def test_remaining_hosts_agree_on_one_home_after_loss_of_a_failure_domain(self):
        """Guards against two successors of a home lost with a sixth of the fleet."""
        previous = self.home(self.hosts[0])
        gone = [m for m in self.members if m.failure_domain == previous.failure_domain]
        remaining = [m for m in self.members if m not in gone]
        hosts = [host for host in self.hosts if host.own.member in remaining]
        for host in hosts:
            send_updates(host, gone, Health.GONE)
        homes = {self.home(host).address for host in hosts}
        self.assertEqual(len(homes), 1)
        self.assertTrue(homes <= {member.address for member in remaining})

    def test_loss_of_a_failure_domain_keeps_the_readers_of_the_others(self):
        """Guards against 160 reads of the store at once when a domain is lost."""
        before = find_readers(self.members)
        self.assertEqual(len(before), DOMAINS)
        remaining = [m for m in self.members if m.failure_domain != "d0"]
        after = find_readers(remaining)
        self.assertEqual(after, {k: v for k, v in before.items() if k != "d0"})
        direct_readers = [m for m in remaining if reader_for(remaining, m) is None]
        self.assertEqual(len(direct_readers), DOMAINS - 1)

    def test_last_remaining_host_serves_by_itself(self):
        """Guards against the last of 195 hosts waiting for hosts that are gone."""
        host = self.hosts[0]
        send_updates(host, self.members[1:], Health.GONE)
        self.assertEqual(host.homes("cell", 0), (self.members[0],))
        self.assertEqual(host.caller_addresses(), [self.members[0].caller_address])
        self.assertIsNone(reader_for([self.members[0]], self.members[0]))

    def test_callers_are_spread_over_all_hosts(self):
        """Guards against callers exhausting the connections of a few of 195 hosts."""
        addresses_returned = collections.Counter()
        for host in self.hosts:
            for _ in range(50):
                addresses_returned.update(host.caller_addresses()[:ADDRESSES_TRIED])
        expected = len(self.hosts) * 50 * ADDRESSES_TRIED / HOSTS
        self.assertEqual(len(addresses_returned), HOSTS)
        self.assertLess(max(addresses_returned.values()), 2.5 * expected)


if __name__ == "__main__":
    unittest.main()
