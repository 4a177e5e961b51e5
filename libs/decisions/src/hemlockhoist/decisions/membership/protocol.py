"""Handling of messages from peers: merging of updates, and the reply to each kind."""

import functools

import msgspec

from hemlockhoist.decisions.membership.records import Outgoing
from hemlockhoist.messages.membership import (
    Health,
    MembersPage,
    MembersRequest,
    MemberUpdate,
    Probe,
    ProbeAck,
    ProbeRequest,
)

# About 8 KB; a new host in a fleet of 1,300 reads 21 pages, once.
MEMBERS_PER_PAGE = 64


def apply_updates(membership, updates, now_ms):
    """Merge member updates, forward new ones, and refute wrong ones on this host."""
    own = membership.own
    for update in updates:
        if update.member.address == own.member.address:
            _refute(membership, update)
        elif membership.table.merge(update, now_ms) and update.member.incarnation:
            entry = membership.table.get(update.member.address)
            membership.gossip.put(entry.update)


def _refute(membership, update):
    own = membership.own
    if update.member.incarnation != own.member.incarnation:
        peer_started_unix_ms = update.member.started_unix_ms
        if peer_started_unix_ms >= own.member.started_unix_ms:
            # The host's date was set back, or two incarnations started in the same
            # millisecond. Peers would treat the previous incarnation as the newer one,
            # and would never list this one.
            member = msgspec.structs.replace(
                own.member, started_unix_ms=peer_started_unix_ms + 1
            )
            membership.gossip.put(membership.table.set_own(member=member))
        return
    contradicts_own = update.health is not Health.ALIVE or update.leaving != own.leaving
    if contradicts_own and update.revision >= own.revision:
        refuted = membership.table.set_own(revision=update.revision)
        membership.gossip.put(refuted)


@functools.singledispatch
def respond(message, membership, now_ms):
    """Return the ``Outgoing`` messages with which to reply to a peer's message."""
    raise NotImplementedError(type(message))


@respond.register
def _(message: MemberUpdate, membership, now_ms):
    return []


@respond.register
def _(message: Probe, membership, now_ms):
    address = message.sender.member.address
    if message.number:
        updates = membership.updates_for(address)
    elif message.sender.leaving:
        return []
    else:
        updates = membership.suspicions_about(address)
    ack = ProbeAck(number=message.number, sender=membership.own, updates=updates)
    return [Outgoing(address, ack)]


@respond.register
def _(message: ProbeAck, membership, now_ms):
    membership.prober.acknowledged(message.number, message.sender.member.address)
    relay = membership.prober.relays.pop(message.number, None)
    if relay is None:
        return []
    _, requester, number = relay
    return [Outgoing(requester, ProbeAck(number=number, sender=message.sender))]


@respond.register
def _(message: ProbeRequest, membership, now_ms):
    requester = message.sender.member.address
    number = membership.prober.relay(message.target_address, requester, message.number)
    probe = Probe(number=number, sender=membership.own)
    return [Outgoing(message.target_address, probe)]


@respond.register
def _(message: MembersRequest, membership, now_ms):
    entries = [
        entry
        for entry in membership.table
        if entry.member.incarnation and entry.member.address > message.after
    ]
    entries.sort(key=lambda entry: entry.member.address)
    page = entries[:MEMBERS_PER_PAGE]
    more = len(entries) > len(page)
    answer = MembersPage(
        sender=membership.own,
        updates=tuple(entry.update for entry in page),
        next_after=page[-1].member.address if more else "",
    )
    return [Outgoing(message.sender.member.address, answer)]


@respond.register
def _(message: MembersPage, membership, now_ms):
    return membership.next_page(message, now_ms)
