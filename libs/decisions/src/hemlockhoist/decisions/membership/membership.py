"""Fleet membership from the hosts' own probes and the platform's lagging list.

The list provides addresses at which hosts may be; probes determine whether they are. A
host that answers is live, whatever the list contains. A list that is empty, outdated or
unreachable changes nothing: only probes detect that a host is gone.
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

# With direct notification, a fleet of the current size learns of a leaving host after
# one message; in a larger one the rest learn of it by gossip within a few periods.
LEAVE_FANOUT = 64
# A starting host introduces itself to the hosts that may be home or read the store, and
# to this many others; the rest learn of it by gossip within a few periods.
INTRODUCTION_FANOUT = 12
GONE_RETENTION_MS = 600_000
REFUTATION_GRACE_MS = 5_000
# Reading the whole member list again repairs what gossip has lost. At 1,300 hosts this
# takes 170 KB, so it is done about every five minutes.
REFRESH_INTERVAL_MS = 300_000
_FIRST_REFRESH_INTERVAL_MS = 2_000
# Once in this many periods, a host that is listed but gone is probed as well, so that
# the partitions of a fleet find each other again.
_GONE_PROBE_INTERVAL = 5
MAX_HOMES = 4
_MAX_CACHED_HOMES = 1_024


class Membership:
    """Maintains this host's view of the fleet.

    Parameters
    ==========
    own : hemlockhoist.messages.membership.Member
    rng : random.Random
    """

    __slots__ = (
        "_has_full_list",
        "_homes",
        "_homes_version",
        "_listed",
        "_other_addresses",
        "_others_version",
        "_probe_count",
        "_refresh_ms",
        "_rng",
        "gossip",
        "prober",
        "table",
    )

    def __init__(self, own, rng):
        self.table = MemberTable(MemberUpdate(member=own))
        self.gossip = GossipQueue()
        self.prober = Prober(rng)
        self._has_full_list = False
        self._rng = rng
        self._listed = {}
        self._other_addresses = []
        self._others_version = -1
        self._homes = {}
        self._homes_version = -1
        self._probe_count = 0
        self._refresh_ms = None

    @classmethod
    def from_config(cls, own, seed):
        """Return a view that contains only this host.

        Parameters
        ==========
        own : hemlockhoist.messages.membership.Member
            With the incarnation of this process.
        seed : int or str
            Seed for the random order of probes and addresses.
        """
        return cls(own, random.Random(seed))

    @property
    def own(self):
        """This host's update about itself."""
        return self.table.own

    @property
    def version(self):
        """A number that changes with every change of the view."""
        return self.table.version

    def set_list(self, listed, now_ms):
        """Set the platform's list of hosts.

        Parameters
        ==========
        listed : sequence of ListedHost
            If empty, or None because the platform was unreachable, nothing changes.
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
        """Return the time until ``tick`` has work to do, or 0 if that may be soon."""
        if self.table.has_suspect:
            return 0
        return self.prober.next_due_ms(now_ms)

    def tick(self, now_ms):
        """Perform what is due and return the ``Outgoing`` messages.

        To be called a few times per second.
        """
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
        """Handle a peer's message and return the ``Outgoing`` messages that follow."""
        protocol.apply_updates(self, (message.sender,), now_ms)
        protocol.apply_updates(self, getattr(message, "updates", ()), now_ms)
        return protocol.respond(message, self, now_ms)

    def introduce(self):
        """Return the messages by which a host that has just started introduces itself.

        Discovery by probes takes some seconds in a fleet of fifty, during which the
        host is not advertised to callers and its requests go to a home that does not
        know it.

        Only a bounded number of hosts is notified. When all hosts of a fleet start at
        once, introductions to every host, each answered with updates, were a third of
        all bytes between failure domains.
        """
        message = Probe(number=0, sender=self.own, updates=())
        high_capacity = (
            member.address for member in high_capacity_members(self._usable())
        )
        addresses = {*high_capacity, *self._sample_others(INTRODUCTION_FANOUT)}
        addresses.discard(self.own.member.address)
        return [Outgoing(address, message) for address in sorted(addresses)]

    def _sample_others(self, count=LEAVE_FANOUT):
        peers = self._other_live_addresses()
        return self._rng.sample(peers, min(count, len(peers)))

    def leave(self, now_ms, successor=""):
        """Mark this host as leaving, and return the messages that announce it.

        Parameters
        ==========
        now_ms : int
        successor : str, optional
            Incarnation that has taken over the key ledger; a second call may add it.
        """
        own = self.table.set_own(leaving=True, successor=successor)
        self.gossip.put(own)
        message = Probe(number=0, sender=own, updates=())
        return [Outgoing(address, message) for address in self._sample_others()]

    def announce_full(self, full):
        """Tell whether this host can't take new callers; return the messages."""
        own = self.table.set_own(full=full)
        self.gossip.put(own)
        message = Probe(number=0, sender=own, updates=())
        return [Outgoing(address, message) for address in self._sample_others()]

    def report_unresponsive(self, address, now_ms):
        """Treat a host that left repeated requests unanswered as a failed probe.

        This shortens the detection of a frozen home: a whole pool waits for it, and the
        next probe of it may be seconds away. A host that has just refuted a suspicion
        is not suspected again for a while, so that the pools of a slow home do not
        flap.

        Returns
        =======
        list of Outgoing
            Messages that announce the suspicion, also to the suspect, which may refute
            it.
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
            for item in {*self._sample_others(), address}
        ]

    def report_connection_refused(self, address, now_ms):
        """Declare a host gone whose address refused a connection after one broke.

        Nothing listens there, and waiting for a suspicion to time out would leave the
        host's pools without a home for seconds. A process that is frozen or cut off
        does not refuse connections, and one that was wrongly reported refutes it under
        a higher revision.
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
        """Return the members that are not gone, including leaving ones, by address."""
        members = [entry.member for entry in self.table if entry.is_live]
        return sorted(members, key=lambda item: item.address)

    def confirmed_members(self):
        """Return the members of known incarnation that are neither leaving nor suspect.

        This host is among them, unless it is leaving.
        """
        return [member for member in self._responsive() if member.incarnation]

    @property
    def is_high_capacity(self):
        """Whether this host may be a home, by the members that it knows."""
        return self.own.member in high_capacity_members(self._usable())

    def count_lost(self, now_ms, within_ms):
        """Return the number of hosts lost recently that had not announced leaving.

        They may be cut off and still serving.
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
        """Return the home of a shard, followed by the next candidates.

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
            Empty if all hosts are leaving.
        """
        if (
            self._homes_version != self.table.version
            or len(self._homes) > _MAX_CACHED_HOMES
        ):
            self._homes = {}
            self._homes_version = self.table.version
        domains = tuple(sorted((upstreams_by_domain or {}).items()))
        name = (pool, shard, domains)
        if name not in self._homes:
            ranked = rank_members(
                high_capacity_members(self._responsive()),
                f"{pool}/{shard}",
                upstreams_by_domain,
            )
            self._homes[name] = tuple(ranked[:MAX_HOMES])
        return self._homes[name][:count]

    def rank(self, name):
        """Return the usable members by descending rendezvous score for ``name``."""
        return rank_members(self._usable(), name)

    def address_answer(self, now_ms):
        """Return the ``AddressAnswer`` for a caller.

        It contains no suspect or leaving hosts.
        """
        return choose_addresses(self._advertised(), self._rng)

    def caller_addresses(self):
        """Return the caller addresses of all advertised members, in random order."""
        return [member.caller_address for member in self.advertised_members()]

    def advertised_members(self):
        """Return the members that callers may use, in random order.

        They are neither suspect nor leaving, nor full unless all are.
        """
        members = self._advertised()
        self._rng.shuffle(members)
        return members

    def _advertised(self):
        """Return the members that callers may use.

        Where all are full, callers are better off with one that tells them when to come
        back than without any.
        """
        entries = [
            entry
            for entry in self.table
            if not entry.is_leaving
            and entry.update.health is Health.ALIVE
            and entry.member.caller_address
        ]
        with_room = [entry.member for entry in entries if not entry.update.full]
        return with_room or [entry.member for entry in entries]

    def updates_for(self, address):
        """Return the updates for the next message to ``address``.

        A suspicion about the addressee itself is always among them: only the addressee
        can refute it, under a higher revision.
        """
        return (*self.suspicions_about(address), *self.gossip.take(len(self.table)))

    def suspicions_about(self, address):
        """Return the update that reports a host suspect or gone, if any, in a tuple."""
        entry = self.table.get(address)
        if entry is None or entry.update.health is Health.ALIVE:
            return ()
        return (entry.update,)

    def next_page(self, page, now_ms):
        """Return the request for the page after ``page``, or none after the last."""
        if not page.next_after:
            self._has_full_list = True
            return []
        message = MembersRequest(sender=self.own, after=page.next_after)
        return [Outgoing(page.sender.member.address, message)]

    def _usable(self):
        return [e.member for e in self.table if e.is_live and not e.is_leaving]

    def _responsive(self):
        """Return the usable members that are not suspect, or all if every one is.

        A pool whose home does not answer makes no progress; if the suspicion is
        refuted, moving the pool back costs one exchange of held grants.
        """
        usable = [e for e in self.table if e.is_live and not e.is_leaving]
        alive = [e.member for e in usable if e.update.health is Health.ALIVE]
        return alive or [e.member for e in usable]

    def _other_live_addresses(self):
        if self._others_version != self.table.version:
            own_address = self.own.member.address
            self._others_version = self.table.version
            self._other_addresses = [
                entry.member.address
                for entry in self.table
                if entry.is_live and entry.member.address != own_address
            ]
        return self._other_addresses

    def _is_other_live(self, address):
        entry = self.table.get(address)
        own_address = self.own.member.address
        return entry is not None and entry.is_live and address != own_address

    def _probe_live(self, now_ms):
        target = self.prober.next_target(
            self._other_live_addresses(), self._is_other_live
        )
        if target is None:
            return []
        number = self.prober.probe(target, now_ms)
        message = Probe(
            number=number, sender=self.own, updates=self.updates_for(target)
        )
        return [Outgoing(target, message)]

    def _probe_gone(self):
        self._probe_count += 1
        gone = [e.member.address for e in self.table.unhealthy() if not e.is_live]
        listed = [address for address in gone if address in self._listed]
        if not listed or self._probe_count % _GONE_PROBE_INTERVAL:
            return []
        target = self._rng.choice(listed)
        message = Probe(number=0, sender=self.own, updates=self.updates_for(target))
        return [Outgoing(target, message)]

    def _indirect_probes(self, now_ms):
        outgoing = []
        others = self._other_live_addresses()
        for number, target in self.prober.due_indirect(now_ms):
            for relay_address in self.prober.choose_relays(others, target):
                message = ProbeRequest(
                    number=number, sender=self.own, target_address=target
                )
                outgoing.append(Outgoing(relay_address, message))
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
        peers = self._other_live_addresses()
        if now_ms < self._refresh_ms or not peers:
            return []
        interval_ms = (
            REFRESH_INTERVAL_MS if self._has_full_list else _FIRST_REFRESH_INTERVAL_MS
        )
        self._refresh_ms = now_ms + self._rng.randrange(interval_ms, 2 * interval_ms)
        message = MembersRequest(sender=self.own)
        return [Outgoing(self._rng.choice(peers), message)]
