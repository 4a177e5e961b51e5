import unittest

from hemlockhoist.decisions.membership import (
    MemberGone,
    MemberJoined,
    MemberLeaving,
    Membership,
    SuccessorNamed,
    high_capacity_members,
)
from hemlockhoist.decisions.membership.membership import LEAVE_FANOUT
from hemlockhoist.decisions.membership.tests.fleet import (
    Fleet,
    listed_hosts,
    new_member,
)
from hemlockhoist.messages.membership import (
    Health,
    Member,
    MemberUpdate,
    Probe,
)


class FullHostTests(unittest.TestCase):
    def advertised_at(self, fleet, number):
        members = fleet.host(number).advertised_members()
        return {member.address for member in members}

    def test_full_host_is_not_named_to_callers(self):
        """Guards against callers who are sent to a host that can't take them."""
        fleet = Fleet(8)
        fleet.run(10_000)
        full = fleet.members[3].address
        for is_full in (True, False):
            fleet.deliver(full, fleet.host(3).announce_full(is_full))
            fleet.run(5_000)
            for number in range(8):
                named = self.advertised_at(fleet, number)
                self.assertEqual(full in named, not is_full)
                self.assertEqual(len(fleet.live_at(number)), 8)

    def test_full_hosts_are_named_if_all_are_full(self):
        """Guards against callers who are told of no host at all."""
        fleet = Fleet(4)
        fleet.run(10_000)
        for number in range(4):
            address = fleet.members[number].address
            fleet.deliver(address, fleet.host(number).announce_full(True))
        fleet.run(5_000)
        self.assertEqual(len(self.advertised_at(fleet, 0)), 4)


class DetectionTests(unittest.TestCase):
    def setUp(self):
        self.fleet = Fleet(8)
        self.fleet.run(10_000)

    def test_dead_host_is_gone_within_seconds(self):
        """All other hosts declare a host gone within 15 seconds after it stops."""
        dead = self.fleet.members[3]
        self.fleet.stop(3)
        self.fleet.run(15_000)
        for number in (0, 1, 2, 4, 5, 6, 7):
            self.assertNotIn(dead.address, self.fleet.live_at(number))
        self.assertIn(MemberGone(dead), self.fleet.host(0).take_events())

    def test_one_broken_link_makes_no_host_gone(self):
        """Guards against two homes of a shard because one link is broken.

        The link from host 0 to host 1 breaks. If host 0 relied on its own probes alone,
        it would take over the shards of host 1 while host 1 still serves them.
        """
        addresses = [item.address for item in self.fleet.members]
        self.fleet.cut.add((addresses[0], addresses[1]))
        self.fleet.run(60_000)
        for number in range(8):
            self.assertEqual(len(self.fleet.live_at(number)), 8)

    def test_empty_or_unavailable_list_changes_nothing(self):
        """Guards against every host being home to all shards after an outage.

        The platform's list is empty after the outage; a host that followed it would
        drop all other hosts.
        """
        for host in self.fleet.hosts.values():
            host.set_list([], self.fleet.now_ms)
            host.set_list(None, self.fleet.now_ms)
        self.fleet.run(30_000)
        self.assertEqual(len(self.fleet.live_at(0)), 8)

    def test_host_missing_from_a_stale_list_stays(self):
        """A host that answers probes is live even if the list does not contain it."""
        for host in self.fleet.hosts.values():
            host.set_list(listed_hosts(self.fleet.members[:4]), self.fleet.now_ms)
        self.fleet.run(30_000)
        self.assertEqual(len(self.fleet.live_at(0)), 8)

    def test_frozen_host_resumes_and_declares_no_host_gone(self):
        """Guards against a resumed host that declares the others gone.

        The others have declared host 2 gone. When it resumes, all probes that it had
        sent look overdue; it must neither declare the others gone nor stay gone.
        """
        address = self.fleet.members[2].address
        self.fleet.frozen.add(address)
        self.fleet.run(60_000)
        self.assertNotIn(address, self.fleet.live_at(0))
        self.fleet.frozen.clear()
        self.fleet.host(2).take_events()
        self.fleet.run(20_000)
        self.assertIn(address, self.fleet.live_at(0))
        events = self.fleet.host(2).take_events()
        self.assertFalse([item for item in events if isinstance(item, MemberGone)])

    def test_partitions_find_each_other_again(self):
        """Two partitions that declared each other gone merge after the cut."""
        addresses = [item.address for item in self.fleet.members]
        first_half, second_half = addresses[:4], addresses[4:]
        cut = {(a, b) for a in first_half for b in second_half}
        self.fleet.cut = cut | {(b, a) for a, b in cut}
        self.fleet.run(60_000)
        self.assertEqual(len(self.fleet.live_at(0)), 4)
        self.fleet.cut = set()
        self.fleet.run(60_000)
        self.assertEqual([len(self.fleet.live_at(n)) for n in range(8)], [8] * 8)

    def test_restart_at_the_same_address_is_another_incarnation(self):
        """The new incarnation replaces the old one, which is reported gone."""
        old = self.fleet.members[5]
        new = new_member(5, started_unix_ms=2)
        self.fleet.stop(5)
        self.fleet.hosts[new.address] = Membership.from_config(new, "new")
        self.fleet.hosts[new.address].set_list(listed_hosts(self.fleet.members), 0)
        self.fleet.host(0).take_events()
        self.fleet.run(10_000)
        events = self.fleet.host(0).take_events()
        self.assertIn(MemberGone(old), events)
        self.assertIn(MemberJoined(new), events)
        self.assertIsNone(self.fleet.host(0).find(old.incarnation))

    def test_restart_with_the_date_set_back_is_the_newer_incarnation(self):
        """Guards against keeping a dead incarnation after the date was set back.

        A host restarts after its date was set back by a day, and peers order its two
        incarnations by date.
        """
        new = new_member(5, started_unix_ms=0)
        self.fleet.stop(5)
        self.fleet.hosts[new.address] = Membership.from_config(new, "new")
        self.fleet.hosts[new.address].set_list(listed_hosts(self.fleet.members), 0)
        self.fleet.run(15_000)
        found = self.fleet.host(0).find(new.incarnation)
        self.assertEqual(found.incarnation, new.incarnation)

    def test_new_host_learns_all_members_from_one_list_entry(self):
        """A host whose list contains one peer knows the whole fleet in seconds."""
        new = new_member(20)
        host = Membership.from_config(new, "new")
        host.set_list(listed_hosts(self.fleet.members[:1]), self.fleet.now_ms)
        self.fleet.members.append(new)
        self.fleet.hosts[new.address] = host
        self.fleet.run(10_000)
        self.assertEqual(len(host.live_hosts()), 9)
        self.assertIn(new.address, self.fleet.live_at(7))


class IntroductionTests(unittest.TestCase):
    def test_new_host_introduces_itself_to_all_listed_hosts(self):
        """Guards against advertising a new host only seconds after its start."""
        members = [new_member(number) for number in range(5)]
        host = Membership.from_config(members[0], seed=1)
        host.set_list(listed_hosts(members), 0)
        introduced = {item.address for item in host.introduce()}
        self.assertEqual(introduced, {member.address for member in members[1:]})


class LeavingTests(unittest.TestCase):
    def setUp(self):
        self.fleet = Fleet(8)
        self.fleet.run(10_000)
        self.leaving_member = self.fleet.members[6]

    def assert_unused(self, host):
        homes = {host.homes("hall", n)[0].address for n in range(64)}
        self.assertNotIn(self.leaving_member.address, homes)
        for _ in range(32):
            answer = host.address_answer(self.fleet.now_ms)
            self.assertNotIn(self.leaving_member.caller_address, answer.addresses)

    def test_host_that_announces_leaving_gets_no_work_at_once(self):
        """One message after a host announces leaving, no host sends work to it."""
        self.fleet.deliver(
            self.leaving_member.address, self.fleet.host(6).leave(10_000, "i1-1")
        )
        for number in range(8):
            self.assert_unused(self.fleet.host(number))
        events = self.fleet.host(0).take_events()
        self.assertIn(MemberLeaving(self.leaving_member), events)
        self.assertIn(SuccessorNamed("i6-1", "i1-1"), events)
        self.assertIn(self.leaving_member.address, self.fleet.live_at(0))

    def test_host_reported_as_leaving_only_by_the_list_gets_no_work(self):
        """The list alone stops new work until another incarnation has the address."""
        host = self.fleet.host(0)
        host.set_list(
            listed_hosts(self.fleet.members, [self.leaving_member]), self.fleet.now_ms
        )
        self.assert_unused(host)
        restarted = new_member(6, started_unix_ms=2)
        update = MemberUpdate(member=restarted)
        host.on_message(Probe(number=1, sender=update), self.fleet.now_ms)
        homes = {host.homes("hall", n)[0].address for n in range(64)}
        self.assertIn(self.leaving_member.address, homes)

    def test_late_update_does_not_revert_leaving(self):
        """An older update without ``leaving`` arrives last and changes nothing."""
        host = self.fleet.host(0)
        old = host.table.get(self.leaving_member.address).update
        self.fleet.deliver(
            self.leaving_member.address, self.fleet.host(6).leave(10_000)
        )
        host.on_message(Probe(number=1, sender=old), self.fleet.now_ms)
        self.assert_unused(host)

    def test_leaving_notifies_a_bounded_number_directly(self):
        """A leaving host among 1,300 notifies a few; gossip reaches the others."""
        members = [new_member(n) for n in range(1_300)]
        host = Membership.from_config(members[0], 1)
        host.set_list(listed_hosts(members), 0)
        self.assertEqual(len(host.leave(0)), LEAVE_FANOUT)


class HomesTests(unittest.TestCase):
    def setUp(self):
        self.members = [new_member(n) for n in range(40)]
        self.host = Membership.from_config(self.members[0], 1)
        self.host.set_list(listed_hosts(self.members), 0)

    def homes(self, domains=None):
        return [self.host.homes("m", n, domains)[0].address for n in range(400)]

    def test_only_shards_of_the_gone_host_are_reassigned(self):
        """When one of forty hosts is gone, exactly its shards get another home."""
        before = self.homes()
        gone = MemberUpdate(member=new_member(7), health=Health.GONE)
        self.host.on_message(
            Probe(
                number=0, sender=MemberUpdate(member=self.members[3]), updates=(gone,)
            ),
            0,
        )
        after = self.homes()
        moved = {a for a, b in zip(before, after, strict=True) if a != b}
        self.assertEqual(moved, {self.members[7].address})

    def test_all_hosts_agree_and_share_the_shards(self):
        """Hosts choose the same homes, and no host has far more than its share."""
        other = Membership.from_config(self.members[9], 2)
        other.set_list(listed_hosts(self.members), 0)
        names = [other.homes("m", n)[0].address for n in range(400)]
        self.assertEqual(names, self.homes())
        self.assertLess(max(names.count(name) for name in names), 30)

    def test_most_homes_are_in_the_domain_of_the_upstreams(self):
        """With all upstreams in one of four domains, most homes are there too."""
        local_addresses = {
            item.address for item in self.members if item.failure_domain == "d2"
        }
        homes = self.homes({"d2": 30})
        share = sum(address in local_addresses for address in homes) / len(homes)
        self.assertGreater(share, 0.6)

    def test_low_capacity_hosts_are_home_only_without_high_capacity_ones(self):
        """Guards against requests that wait for a slow home while engines are free.

        The home of a pool is one of fifty hosts with half a core; eight others have two
        cores.
        """
        names = [f"10.0.0.{number}:1" for number in range(58)]
        low_capacity = [Member(address=a, processor_millicores=516) for a in names[:50]]
        high_capacity = [
            Member(address=a, processor_millicores=2_151) for a in names[50:]
        ]
        self.assertEqual(
            high_capacity_members([*low_capacity, *high_capacity]), high_capacity
        )
        self.assertEqual(high_capacity_members(low_capacity), low_capacity)
        unreported = Member(address="10.0.1.1:1")
        self.assertEqual(
            high_capacity_members([*low_capacity, unreported]),
            [*low_capacity, unreported],
        )

    def test_addresses_spread_over_domains(self):
        """An answer contains four hosts of four failure domains."""
        answer = self.host.address_answer(0)
        numbers = [int(a.split(":")[0].split(".")[-1]) % 4 for a in answer.addresses]
        self.assertEqual(sorted(numbers), [0, 1, 2, 3])
        self.assertGreater(answer.ttl_ms, 0)
