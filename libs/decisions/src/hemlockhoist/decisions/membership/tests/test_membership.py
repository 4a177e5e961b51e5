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
from hemlockhoist.decisions.membership.tests.fleet import Fleet, list_of, make_member
from hemlockhoist.messages.membership import (
    Health,
    Member,
    MemberUpdate,
    Probe,
)


class DetectionTests(unittest.TestCase):
    def setUp(self):
        self.fleet = Fleet(8)
        self.fleet.run(10_000)

    def test_dead_host_is_gone_within_seconds(self):
        """A host that stops answering is gone at all others within 15 seconds."""
        dead = self.fleet.members[3]
        self.fleet.stop(3)
        self.fleet.run(15_000)
        for number in (0, 1, 2, 4, 5, 6, 7):
            self.assertNotIn(dead.address, self.fleet.live_at(number))
        self.assertIn(MemberGone(dead), self.fleet.host(0).take_events())

    def test_one_broken_link_makes_nobody_gone(self):
        """
        The link from host 0 to host 1 breaks in one direction. Were 0 to judge alone,
        it would take 1's shards over while 1 still serves them: two homes.
        """
        addresses = [item.address for item in self.fleet.members]
        self.fleet.cut.add((addresses[0], addresses[1]))
        self.fleet.run(60_000)
        for number in range(8):
            self.assertEqual(len(self.fleet.live_at(number)), 8)

    def test_empty_or_lost_list_changes_nothing(self):
        """
        The platform's list comes back empty after an outage. Taken at its word, every
        host would drop all others and all shards would have a home at every host.
        """
        for host in self.fleet.hosts.values():
            host.set_list([], self.fleet.now_ms)
            host.set_list(None, self.fleet.now_ms)
        self.fleet.run(30_000)
        self.assertEqual(len(self.fleet.live_at(0)), 8)

    def test_host_missing_from_a_stale_list_stays(self):
        """A host that answers probes is live, whatever the list leaves out."""
        for host in self.fleet.hosts.values():
            host.set_list(list_of(self.fleet.members[:4]), self.fleet.now_ms)
        self.fleet.run(30_000)
        self.assertEqual(len(self.fleet.live_at(0)), 8)

    def test_frozen_host_returns_and_calls_nobody_gone(self):
        """
        Host 2 is frozen for a minute and gone at the others. When it wakes, all probes
        it had sent look overdue; it must neither call the others gone nor stay gone.
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

    def test_halves_cut_apart_find_each_other(self):
        """Two halves that called each other gone are whole again after the cut."""
        addresses = [item.address for item in self.fleet.members]
        left, right = addresses[:4], addresses[4:]
        cut = {(a, b) for a in left for b in right}
        self.fleet.cut = cut | {(b, a) for a, b in cut}
        self.fleet.run(60_000)
        self.assertEqual(len(self.fleet.live_at(0)), 4)
        self.fleet.cut = set()
        self.fleet.run(60_000)
        self.assertEqual([len(self.fleet.live_at(n)) for n in range(8)], [8] * 8)

    def test_restart_at_the_same_address_is_another_run(self):
        """The new run replaces the old one, whose incarnation is reported gone."""
        old = self.fleet.members[5]
        new = make_member(5, started_unix_ms=2)
        self.fleet.stop(5)
        self.fleet.hosts[new.address] = Membership.from_config(new, "new")
        self.fleet.hosts[new.address].set_list(list_of(self.fleet.members), 0)
        self.fleet.host(0).take_events()
        self.fleet.run(10_000)
        events = self.fleet.host(0).take_events()
        self.assertIn(MemberGone(old), events)
        self.assertIn(MemberJoined(new), events)
        self.assertIsNone(self.fleet.host(0).find(old.incarnation))

    def test_restart_with_the_date_set_back_is_still_the_newer_run(self):
        """
        A host restarts after its date was set back by a day. Peers order the two runs
        by date and would keep the dead one for ever.
        """
        new = make_member(5, started_unix_ms=0)
        self.fleet.stop(5)
        self.fleet.hosts[new.address] = Membership.from_config(new, "new")
        self.fleet.hosts[new.address].set_list(list_of(self.fleet.members), 0)
        self.fleet.run(15_000)
        found = self.fleet.host(0).find(new.incarnation)
        self.assertEqual(found.incarnation, new.incarnation)

    def test_new_host_learns_all_members_from_one_list_entry(self):
        """A host that is told of one peer knows the whole fleet in seconds."""
        new = make_member(20)
        host = Membership.from_config(new, "new")
        host.set_list(list_of(self.fleet.members[:1]), self.fleet.now_ms)
        self.fleet.members.append(new)
        self.fleet.hosts[new.address] = host
        self.fleet.run(10_000)
        self.assertEqual(len(host.live_hosts()), 9)
        self.assertIn(new.address, self.fleet.live_at(7))


class IntroductionTests(unittest.TestCase):
    def test_new_host_is_known_to_all_that_it_has_read_of_at_once(self):
        """Callers are not told of a host for seconds after its start."""
        members = [make_member(number) for number in range(5)]
        host = Membership.from_config(members[0], seed=1)
        host.set_list(list_of(members), 0)
        told = {item.address for item in host.introduce()}
        self.assertEqual(told, {member.address for member in members[1:]})


class LeavingTests(unittest.TestCase):
    def setUp(self):
        self.fleet = Fleet(8)
        self.fleet.run(10_000)
        self.leaver = self.fleet.members[6]

    def assert_unused(self, host):
        homes = {host.homes("hall", n)[0].address for n in range(64)}
        self.assertNotIn(self.leaver.address, homes)
        for _ in range(32):
            answer = host.address_answer(self.fleet.now_ms)
            self.assertNotIn(self.leaver.caller_address, answer.addresses)

    def test_host_that_says_so_gets_no_work_at_once(self):
        """One message after a host says that it leaves, nobody sends work there."""
        self.fleet.carry(self.leaver.address, self.fleet.host(6).leave(10_000, "i1-1"))
        for number in range(8):
            self.assert_unused(self.fleet.host(number))
        events = self.fleet.host(0).take_events()
        self.assertIn(MemberLeaving(self.leaver), events)
        self.assertIn(SuccessorNamed("i6-1", "i1-1"), events)
        self.assertIn(self.leaver.address, self.fleet.live_at(0))

    def test_host_that_only_the_list_calls_leaving_gets_none(self):
        """The list's word alone stops new work, until another run is at the address."""
        host = self.fleet.host(0)
        host.set_list(list_of(self.fleet.members, [self.leaver]), self.fleet.now_ms)
        self.assert_unused(host)
        restarted = make_member(6, started_unix_ms=2)
        update = MemberUpdate(member=restarted)
        host.on_message(Probe(number=1, sender=update), self.fleet.now_ms)
        homes = {host.homes("hall", n)[0].address for n in range(64)}
        self.assertIn(self.leaver.address, homes)

    def test_late_news_does_not_take_leaving_back(self):
        """An older account without "leaving" arrives last and changes nothing."""
        host = self.fleet.host(0)
        old = host.table.get(self.leaver.address).update
        self.fleet.carry(self.leaver.address, self.fleet.host(6).leave(10_000))
        host.on_message(Probe(number=1, sender=old), self.fleet.now_ms)
        self.assert_unused(host)

    def test_leaving_tells_a_bounded_number_directly(self):
        """Among 1,300 hosts a leaver sends to a few, and gossip does the rest."""
        members = [make_member(n) for n in range(1_300)]
        host = Membership.from_config(members[0], 1)
        host.set_list(list_of(members), 0)
        self.assertEqual(len(host.leave(0)), LEAVE_FANOUT)


class HomesTests(unittest.TestCase):
    def setUp(self):
        self.members = [make_member(n) for n in range(40)]
        self.host = Membership.from_config(self.members[0], 1)
        self.host.set_list(list_of(self.members), 0)

    def homes(self, domains=None):
        return [self.host.homes("m", n, domains)[0].address for n in range(400)]

    def test_only_the_gone_hosts_shards_move(self):
        """When one of forty hosts goes, exactly its own shards get another home."""
        before = self.homes()
        gone = MemberUpdate(member=make_member(7), health=Health.GONE)
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
        """Another host names the same homes, and no host has far more than its part."""
        other = Membership.from_config(self.members[9], 2)
        other.set_list(list_of(self.members), 0)
        names = [other.homes("m", n)[0].address for n in range(400)]
        self.assertEqual(names, self.homes())
        self.assertLess(max(names.count(name) for name in names), 30)

    def test_homes_are_near_the_upstreams(self):
        """With all upstreams in one of four domains, most homes are there too."""
        near = {item.address for item in self.members if item.failure_domain == "d2"}
        homes = self.homes({"d2": 30})
        share = sum(address in near for address in homes) / len(homes)
        self.assertGreater(share, 0.6)

    def test_weak_hosts_are_home_only_where_there_are_no_strong_ones(self):
        """Every request of a pool waits in each burst, with engines to spare.

        Its home is one of fifty hosts with half a core; eight others have two cores.
        """
        names = [f"10.0.0.{number}:1" for number in range(58)]
        weak = [Member(address=a, processor_millicores=516) for a in names[:50]]
        strong = [Member(address=a, processor_millicores=2_151) for a in names[50:]]
        self.assertEqual(high_capacity_members([*weak, *strong]), strong)
        self.assertEqual(high_capacity_members(weak), weak)
        untold = Member(address="10.0.1.1:1")
        self.assertEqual(high_capacity_members([*weak, untold]), [*weak, untold])

    def test_addresses_spread_over_domains(self):
        """An answer names four hosts of four failure domains."""
        answer = self.host.address_answer(0)
        numbers = [int(a.split(":")[0].split(".")[-1]) % 4 for a in answer.addresses]
        self.assertEqual(sorted(numbers), [0, 1, 2, 3])
        self.assertGreater(answer.ttl_ms, 0)
