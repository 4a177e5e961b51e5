"""One host: the decision code's parts, put together as the product's host does."""

import functools

import msgspec

from hemlockhoist.base import Property
from hemlockhoist.decisions.configuration import ConfigurationState
from hemlockhoist.decisions.ledger import KeyLedger, OwnedBy, Proceed, WithdrawnTo
from hemlockhoist.decisions.membership import (
    Membership,
    Outgoing,
    SuccessorNamed,
    UpstreamView,
)
from hemlockhoist.messages import configuration as configuration_messages
from hemlockhoist.messages import ledger as ledger_messages
from hemlockhoist.messages import membership as membership_messages
from hemlockhoist.standins.randomised.call import CallPhase

RETENTION_MS = 8_000
MAX_RECORDS = 24
MAX_ANSWER_BYTES = 160
LOOKUP_TIMEOUT_MS = 2_000
_MAX_HOPS = 4


class SoakHost:
    """A run of a host process.

    Parameters
    ==========
    member : hemlockhoist.messages.membership.Member
    tally : Tally
    service : CountingService
    seed : int
    """

    __slots__ = (
        "_service",
        "_tally",
        "calls",
        "configuration",
        "is_frozen",
        "is_leaving",
        "ledger",
        "member",
        "membership",
        "pending_lookups",
        "successor",
        "upstreams",
    )

    def __init__(self, member, tally, service, seed):
        log = tally.invariants
        self.member = member
        self.ledger = KeyLedger.from_config(
            member.incarnation, RETENTION_MS, MAX_RECORDS, MAX_ANSWER_BYTES, log
        )
        self.membership = Membership.from_config(member, seed)
        self.configuration = ConfigurationState.from_config(
            member.address, member.incarnation, log, seed
        )
        self.upstreams = UpstreamView.from_config(log)
        self.calls = []
        self.pending_lookups = {}
        self.is_frozen = False
        self.is_leaving = False
        self.successor = ""
        self._tally = tally
        self._service = service

    @property
    def address(self):
        """Where peers find the host."""
        return self.member.address

    def begin(self, call, now_ms):
        """Take a caller's copy of a call; return the messages that follow."""
        result = self.ledger.begin(call.customer, call.key, call.fingerprint, now_ms)
        call.begun_ms = now_ms
        return self._go_on(call, result)

    def _go_on(self, call, result):
        if isinstance(result, Proceed):
            call.attempt = result.attempt
            self.calls.append(call)
            return []
        if not isinstance(result, OwnedBy | WithdrawnTo):
            self._service.check_result(call, result)
            return []
        self.pending_lookups[call.id] = call
        member = self.membership.find(result.incarnation)
        return [Outgoing(member.address, result.lookup)] if member else []

    def dispatch(self, call, now_ms):
        """Pass the point of no return."""
        self.ledger.mark_dispatched(call.attempt, now_ms)
        call.phase = CallPhase.DISPATCHED

    def send(self, call):
        """Send the request: the service runs it."""
        call.phase = CallPhase.SENT
        self._service.run(call)

    def end_call(self, call, ran, now_ms):
        """End a call: refused before dispatch, answered, or broken off."""
        self.calls.remove(call)
        if call.phase is CallPhase.SENT:
            self._service.ended.append(call)
        if call.phase is CallPhase.ADMITTED:
            self.ledger.mark_not_run(call.attempt, now_ms)
            ran = self._service.runs[call.id]
            detail = f"{call.id} was refused, and ran {ran} times"
            self._tally.invariants.check(Property.NOT_RUN_IS_TRUE, ran == 0, detail)
        elif ran and call.phase is CallPhase.SENT:
            self.ledger.mark_finished(call.attempt, self._service.answer(call), now_ms)
        else:
            self.ledger.mark_unknown(call.attempt, now_ms)

    def tick(self, now_ms):
        """Do what is due; return the messages."""
        outgoing = self.membership.tick(now_ms)
        self._take_events()
        members = self.membership.live_hosts()
        ranked = [item.address for item in self.membership.rank("configuration")]
        self.configuration.set_view(members, ranked, now_ms)
        outgoing += self.configuration.tick(now_ms)
        if self.configuration.version > self.configuration.acknowledged_version:
            version = self.configuration.version
            outgoing += self.configuration.mark_in_force(version, now_ms)
        self._give_up_lookups(now_ms)
        outgoing += self._hand_over(now_ms)
        return outgoing

    def serve(self, now_ms):
        """Decide a request by the declarations in force, if the host is ready."""
        if self.configuration.is_ready(now_ms):
            return self.configuration.serving_declarations(now_ms)
        return None

    def leave(self, now_ms):
        """Begin a planned stop; return the messages that tell it."""
        self.is_leaving = True
        return self.membership.leave(now_ms)

    def may_stop(self, now_ms):
        """Return whether the planned stop can end the process without a loss."""
        if (
            not self.is_leaving
            or self.calls
            or self.pending_lookups
            or not self.successor
        ):
            return False
        return not self.ledger.handover(self.successor, now_ms)

    def receive(self, message, now_ms):
        """Take a peer's message; return the messages that follow."""
        # What is not carried as bytes would not be noticed to be mutable.
        data = msgspec.msgpack.encode(message)
        message = msgspec.msgpack.decode(data, type=type(message))
        return _receive(message, self, now_ms)

    def on_lookup_reply(self, reply, now_ms):
        """Go on with the call that waits for a reply."""
        result = self.ledger.on_lookup_reply(reply, now_ms)
        if result is None:
            return []
        call = self.pending_lookups.pop((reply.customer, reply.key))
        return self._go_on(call, result)

    def _give_up_lookups(self, now_ms):
        for call in list(self.pending_lookups.values()):
            if now_ms - call.begun_ms >= LOOKUP_TIMEOUT_MS:
                del self.pending_lookups[call.id]
                result = self.ledger.abandon_lookup(call.customer, call.key, now_ms)
                self._service.check_result(call, result)

    def _hand_over(self, now_ms):
        if not self.is_leaving:
            return []
        if not self.successor:
            self.successor = self._choose_successor()
        if not self.successor:
            return []
        messages = self.ledger.handover(self.successor, now_ms)
        if not messages:
            return self.membership.leave(now_ms, self.successor)
        member = self.membership.find(self.successor)
        address = member.address if member else ""
        return [Outgoing(address, item) for item in messages]

    def _choose_successor(self):
        for member in self.membership.rank(f"successor/{self.address}"):
            if member.address != self.address and member.incarnation:
                return member.incarnation
        return ""

    def _take_events(self):
        for event in self.membership.take_events():
            if isinstance(event, SuccessorNamed):
                self.ledger.record_successor(event.incarnation, event.successor)


@functools.singledispatch
def _receive(message, host, now_ms):
    """Hand a message to the part that it is for; return the messages that follow."""
    raise NotImplementedError(type(message))


@_receive.register(membership_messages.Probe)
@_receive.register(membership_messages.ProbeAck)
@_receive.register(membership_messages.ProbeRequest)
@_receive.register(membership_messages.MembersRequest)
@_receive.register(membership_messages.MembersPage)
def _(message, host, now_ms):
    return host.membership.on_message(message, now_ms)


@_receive.register(configuration_messages.ConfigurationDigest)
@_receive.register(configuration_messages.ConfigurationRequest)
@_receive.register(configuration_messages.ConfigurationContent)
@_receive.register(configuration_messages.HaltedVersions)
@_receive.register(configuration_messages.ConfigurationAck)
@_receive.register(configuration_messages.ConfigurationSummary)
@_receive.register(configuration_messages.ConfigurationSummaryRequest)
def _(message, host, now_ms):
    return host.configuration.on_message(message, now_ms)


@_receive.register
def _(message: ledger_messages.KeyLookup, host, now_ms):
    member = host.membership.find(message.requester)
    reply = host.ledger.on_lookup(message, now_ms)
    return [Outgoing(member.address, reply)] if member else []


@_receive.register
def _(message: ledger_messages.LookupReply, host, now_ms):
    return host.on_lookup_reply(message, now_ms)


@_receive.register
def _(message: ledger_messages.Handover, host, now_ms):
    ack = host.ledger.adopt_handover(message, now_ms)
    member = host.membership.find(message.leaver)
    return [Outgoing(member.address, ack)] if member and ack else []


@_receive.register
def _(message: ledger_messages.HandoverAck, host, now_ms):
    host.ledger.on_handover_ack(message, now_ms)
    return []
