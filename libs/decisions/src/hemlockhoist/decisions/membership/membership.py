"""Which hosts there are, from the hosts' own probes and the platform's lagging list.

The list tells where hosts may be; probes tell whether they are. A host that answers is
live, whatever the list says. A list that is empty, old or out of reach changes nothing:
hosts are found gone by probes alone.
"""

import random

import msgspec

from hemlockhoist.decisions.membership import protocol
from hemlockhoist.decisions.membership.addresses import choose_addresses
from hemlockhoist.decisions.membership.gossip import GossipQueue
from hemlockhoist.decisions.membership.prober import Prober, is_overdue
from hemlockhoist.decisions.membership.records import Outgoing
from hemlockhoist.decisions.membership.rendezvous import (
    high_capacity_members,
    rank_members,
)
from hemlockhoist.decisions.membership.table import MemberTable
from hemlockhoist.messages.membership import (
    Health,
    Member,
    MembersRequest,
    MemberUpdate,
    Probe,
    ProbeRequest,
)

# Told directly, a fleet of today's size knows of a leaving host after one message; in
# a large one the rest hear it from these within a few periods.
LEAVE_FANOUT = 64
# A host that starts introduces itself to those that may be home or read the store, and
# to so many others: the rest hear of it within a few periods.
INTRODUCTION_FANOUT = 12
GONE_RETENTION_MS = 600_000
REFUTATION_GRACE_MS = 5_000
# Reading the whole list again heals what gossip has lost; at 1,300 hosts that is
# 170 KB, so it is done about every five minutes.
REFRESH_MS = 300_000
_FIRST_REFRESH_MS = 2_000
# Of the probes, one in this many goes to a host that the list has and probes have not:
# so two halves of a fleet that were cut apart find each other again.
_GONE_PROBE_EVERY = 5
MAX_HOMES = 4
_CACHED_HOMES = 1_024


class Membership:
    """This host's view of the fleet.

    Parameters
    ==========
    own : hemlockhoist.messages.membership.Member
    rng : random.Random
    """

    __slots__ = (
        "_homes",
        "_homes_version",
        "_listed",
        "_other_addresses",
        "_others_version",
        "_probes",
        "_refresh_ms",
        "_rng",
        "_synced",
        "gossip",
        "prober",
        "table",
    )

    def __init__(self, own, rng):
        self.table = MemberTable(MemberUpdate(member=own))
        self.gossip = GossipQueue()
        self.prober = Prober(rng)
        self._synced = False
        self._rng = rng
        self._listed = {}
        self._other_addresses = []
        self._others_version = -1
        self._homes = {}
        self._homes_version = -1
        self._probes = 0
        self._refresh_ms = None

    @classmethod
    def from_config(cls, own, seed):
        """Return a view that knows this host alone.

        Parameters
        ==========
        own : hemlockhoist.messages.membership.Member
            With the incarnation of this run.
        seed : int or str
            Of the random order of probes and addresses.
        """
        return cls(own, random.Random(seed))

    @property
    def own(self):
        """This host's account of itself."""
        return self.table.own

    @property
    def version(self):
        """Differs after every change of the view."""
        return self.table.version

    def set_list(self, listed, now_ms):
        """Take the platform's list.

        Parameters
        ==========
        listed : sequence of ListedHost
            Empty, or None when the platform was out of reach: nothing changes then.
        now_ms : int
        """
        if not listed:
            return
        self._listed = {item.address: item for item in listed}
        for item in listed:
            if item.address == self.own.member.address:
                continue
            entry = self.table.get(item.address)
            if entry is None:
                member = Member(
                    address=item.address,
                    caller_address=item.caller_address,
                    failure_domain=item.failure_domain,
                    processor_millicores=item.processor_millicores,
                )
                self.table.add_listed(member, now_ms)
                entry = self.table.get(item.address)
            self.table.mark_listed_leaving(entry, item.leaving)

    def next_due_ms(self, now_ms):
        """Return after how long ``tick`` has something to do, 0 while that may be soon."""
        if self.table.has_suspect:
            return 0
        return self.prober.next_due_ms(now_ms)

    def tick(self, now_ms):
        """Do what is due; return the ``Outgoing`` messages. Call a few times a second."""
        if self.prober.record_time(now_ms):
            for entry in self.table:
                entry.changed_ms = now_ms
        self._fail_probes(now_ms)
        self._expire(now_ms)
        outgoing = self._indirect_probes(now_ms)
        if self.prober.is_due(now_ms):
            outgoing.extend(self._probe_live(now_ms))
            outgoing.extend(self._probe_gone())
        outgoing.extend(self._refresh(now_ms))
        return outgoing

    def on_message(self, message, now_ms):
        """Take a peer's message; return the ``Outgoing`` messages that follow."""
        protocol.apply_updates(self, (message.sender,), now_ms)
        protocol.apply_updates(self, getattr(message, "updates", ()), now_ms)
        return protocol.respond(message, self, now_ms)

    def introduce(self):
        """Return the messages that tell others of this host, which has just started.

        Waiting to be found by probes takes some seconds in a fleet of fifty, in which
        callers are not told of it and its requests go to a home that does not know it.

        Load: all hosts of a fleet start at once. Told to all, and answered with news by
        each, it was a third of all bytes between failure domains.
        """
        message = Probe(number=0, sender=self.own, updates=())
        strong = (member.address for member in high_capacity_members(self._usable()))
        addresses = {*strong, *self._some_others(INTRODUCTION_FANOUT)}
        addresses.discard(self.own.member.address)
        return [Outgoing(address, message) for address in sorted(addresses)]

    def _some_others(self, count=LEAVE_FANOUT):
        peers = self._others()
        return self._rng.sample(peers, min(count, len(peers)))

    def leave(self, now_ms, successor=""):
        """Say that this host takes no new work; return the messages that tell it.

        Parameters
        ==========
        now_ms : int
        successor : str, optional
            Incarnation that has taken the key ledger; a second call may add it.
        """
        own = self.table.set_own(leaving=True, successor=successor)
        self.gossip.put(own)
        message = Probe(number=0, sender=own, updates=())
        return [Outgoing(address, message) for address in self._some_others()]

    def report_unresponsive(self, address, now_ms):
        """Take a host's silence to repeated questions as a failed probe.

        Made for a home that is frozen: a whole pool waits for it, and a probe may come
        round to it only seconds later. A host that has just refuted a suspicion is
        left alone for a while, so that one that is slow is not moved to and fro.

        Returns
        =======
        list of Outgoing
            That tell the suspicion, also to the suspect, who may refute it.
        """
        entry = self.table.get(address)
        if entry is None or entry.update.health is not Health.ALIVE:
            return []
        refuted = entry.update.revision > 0
        if refuted and now_ms - entry.changed_ms < REFUTATION_GRACE_MS:
            return []
        self._suspect(address, now_ms)
        return [
            Outgoing(item, Probe(number=0, sender=self.own, updates=(entry.update,)))
            for item in {*self._some_others(), address}
        ]

    def report_connection_refused(self, address, now_ms):
        """Take a refused connection after a broken one: nobody listens there.

        Waiting out a suspicion would leave the pools that the host was home of without
        a home for seconds. A process that is frozen or cut off refuses nothing, and
        one that was wrongly reported refutes it under a higher revision.
        """
        entry = self.table.get(address)
        own = address == self.own.member.address
        if entry is not None and entry.is_live and not own:
            self._set_health(entry, Health.GONE, now_ms)

    def take_events(self):
        """Return the changes since the last call, oldest first."""
        events = self.table.events
        self.table.events = []
        return events

    def live_hosts(self):
        """Return the members that are not gone, sorted by address; leaving ones too."""
        members = [entry.member for entry in self.table if entry.is_live]
        return sorted(members, key=lambda item: item.address)

    def confirmed_members(self):
        """Return the members that have been heard of and neither leave nor miss probes.

        This host is among them, unless it leaves.
        """
        return [member for member in self._answering() if member.incarnation]

    @property
    def is_high_capacity(self):
        """Whether this host is among those that may be home, as far as it knows."""
        return self.own.member in high_capacity_members(self._usable())

    def count_lost(self, now_ms, within_ms):
        """Return how many hosts were lost lately without having said that they leave.

        They may be cut off and go on serving.
        """
        return sum(
            1
            for entry in self.table.unhealthy()
            if not entry.is_live
            and not entry.is_leaving
            and now_ms - entry.changed_ms < within_ms
        )

    def find(self, incarnation):
        """Return the live member of an incarnation, or None."""
        for entry in self.table:
            if entry.is_live and entry.member.incarnation == incarnation:
                return entry.member
        return None

    def homes(self, pool, shard, upstreams_by_domain=None, count=2):
        """Return the members that are home to a shard, and next in line.

        Parameters
        ==========
        pool : str
        shard : int
        upstreams_by_domain : mapping of str to int, optional
        count : int
            At most ``MAX_HOMES``.

        Returns
        =======
        tuple of Member
            Empty when every host leaves.
        """
        if (
            self._homes_version != self.table.version
            or len(self._homes) > _CACHED_HOMES
        ):
            self._homes = {}
            self._homes_version = self.table.version
        domains = tuple(sorted((upstreams_by_domain or {}).items()))
        name = (pool, shard, domains)
        if name not in self._homes:
            ranked = rank_members(
                high_capacity_members(self._answering()),
                f"{pool}/{shard}",
                upstreams_by_domain,
            )
            self._homes[name] = tuple(ranked[:MAX_HOMES])
        return self._homes[name][:count]

    def rank(self, name):
        """Return the usable members by rendezvous score for any ``name``."""
        return rank_members(self._usable(), name)

    def address_answer(self, now_ms):
        """Return the ``AddressAnswer`` for a caller: no suspect or leaving host."""
        return choose_addresses(self._named(), self._rng)

    def caller_addresses(self):
        """Return the callers' addresses of all hosts that are neither suspect nor
        leaving, in a random order.
        """
        return [member.caller_address for member in self.advertised_members()]

    def advertised_members(self):
        """Return the members that callers may be told of, in a random order."""
        members = self._named()
        self._rng.shuffle(members)
        return members

    def _named(self):
        return [
            entry.member
            for entry in self.table
            if not entry.is_leaving
            and entry.update.health is Health.ALIVE
            and entry.member.caller_address
        ]

    def updates_for(self, address):
        """Return the updates for the next message to ``address``.

        What is held against the addressee itself is always among them: only it can
        refute that, under a higher revision.
        """
        return (*self.suspicions_about(address), *self.gossip.take(len(self.table)))

    def suspicions_about(self, address):
        """Return what is held against a host, for itself to refute; mostly nothing."""
        entry = self.table.get(address)
        if entry is None or entry.update.health is Health.ALIVE:
            return ()
        return (entry.update,)

    def next_page(self, page, now_ms):
        """Take a page of members; return the request for the next one, if any."""
        if not page.next_after:
            self._synced = True
            return []
        message = MembersRequest(sender=self.own, after=page.next_after)
        return [Outgoing(page.sender.member.address, message)]

    def _usable(self):
        return [e.member for e in self.table if e.is_live and not e.is_leaving]

    def _answering(self):
        """Return the usable members without a suspicion, or all where none is left.

        A pool whose home does not answer stands still; moving it back costs one
        exchange of held grants, should the suspicion be refuted.
        """
        usable = [e for e in self.table if e.is_live and not e.is_leaving]
        alive = [e.member for e in usable if e.update.health is Health.ALIVE]
        return alive or [e.member for e in usable]

    def _others(self):
        if self._others_version != self.table.version:
            own_address = self.own.member.address
            self._others_version = self.table.version
            self._other_addresses = [
                entry.member.address
                for entry in self.table
                if entry.is_live and entry.member.address != own_address
            ]
        return self._other_addresses

    def _is_other(self, address):
        entry = self.table.get(address)
        own_address = self.own.member.address
        return entry is not None and entry.is_live and address != own_address

    def _probe_live(self, now_ms):
        target = self.prober.next_target(self._others(), self._is_other)
        if target is None:
            return []
        number = self.prober.probe(target, now_ms)
        message = Probe(
            number=number, sender=self.own, updates=self.updates_for(target)
        )
        return [Outgoing(target, message)]

    def _probe_gone(self):
        self._probes += 1
        gone = [e.member.address for e in self.table.unhealthy() if not e.is_live]
        listed = [address for address in gone if address in self._listed]
        if not listed or self._probes % _GONE_PROBE_EVERY:
            return []
        target = self._rng.choice(listed)
        message = Probe(number=0, sender=self.own, updates=self.updates_for(target))
        return [Outgoing(target, message)]

    def _indirect_probes(self, now_ms):
        outgoing = []
        others = self._others()
        for number, target in self.prober.due_indirect(now_ms):
            for helper in self.prober.choose_helpers(others, target):
                message = ProbeRequest(
                    number=number, sender=self.own, target_address=target
                )
                outgoing.append(Outgoing(helper, message))
        return outgoing

    def _fail_probes(self, now_ms):
        for address in self.prober.due_failed(now_ms):
            self._suspect(address, now_ms)

    def _suspect(self, address, now_ms):
        entry = self.table.get(address)
        if entry is not None and entry.update.health is Health.ALIVE:
            self._set_health(entry, Health.SUSPECT, now_ms)

    def _set_health(self, entry, health, now_ms):
        update = msgspec.structs.replace(entry.update, health=health)
        self.table.merge(update, now_ms)
        if update.member.incarnation:
            self.gossip.put(update)

    def _expire(self, now_ms):
        suspicion_ms = self.prober.suspicion_ms(len(self.table))
        for entry in self.table.unhealthy():
            if is_overdue(entry, suspicion_ms, now_ms):
                self._set_health(entry, Health.GONE, now_ms)
            elif self._is_forgettable(entry, now_ms):
                self.table.remove(entry.member.address)

    def _is_forgettable(self, entry, now_ms):
        old = now_ms - entry.changed_ms > GONE_RETENTION_MS
        return old and not entry.is_live and entry.member.address not in self._listed

    def _refresh(self, now_ms):
        if self._refresh_ms is None:
            self._refresh_ms = now_ms
        peers = self._others()
        if now_ms < self._refresh_ms or not peers:
            return []
        interval_ms = REFRESH_MS if self._synced else _FIRST_REFRESH_MS
        self._refresh_ms = now_ms + self._rng.randrange(interval_ms, 2 * interval_ms)
        message = MembersRequest(sender=self.own)
        return [Outgoing(self._rng.choice(peers), message)]
