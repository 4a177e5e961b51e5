"""A simulated host: the decision code, assembled as in the real host process."""

import functools

import msgspec

from hemlockhoist.base import Property
from hemlockhoist.decisions.configuration import ConfigurationState
from hemlockhoist.decisions.ledger import (
    InTransit,
    KeyLedger,
    OwnedBy,
    Proceed,
    WithdrawnTo,
)
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
    """One incarnation of a host process.

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
        """The address at which peers reach the host."""
        return self.member.address

    def begin(self, call, now_ms):
        """Process a call received from a caller, and return the messages to send."""
        call.begun_ms = now_ms
        return self._begin(call, now_ms)

    def _begin(self, call, now_ms):
        result = self.ledger.begin(call.customer, call.key, call.fingerprint, now_ms)
        return self._handle_result(call, result)

    def _handle_result(self, call, result):
        if isinstance(result, Proceed):
            call.attempt = result.attempt
            self.calls.append(call)
            return []
        if isinstance(result, InTransit):
            call.lookup = None
            self.pending_lookups[call.id] = call
            return []
        if not isinstance(result, OwnedBy | WithdrawnTo):
            self._service.check_result(call, result)
            return []
        call.lookup = result.lookup
        self.pending_lookups[call.id] = call
        member = self.membership.find(result.incarnation)
        return [Outgoing(member.address, result.lookup)] if member else []

    def dispatch(self, call, now_ms):
        """Mark a call as dispatched, after which it counts as possibly run."""
        self.ledger.mark_dispatched(call.attempt, now_ms)
        call.phase = CallPhase.DISPATCHED

    def send(self, call):
        """Send the request to the service, which runs it."""
        call.phase = CallPhase.SENT
        self._service.run(call)

    def end_call(self, call, ran, now_ms):
        """End a call as refused before dispatch, answered or interrupted."""
        self.calls.remove(call)
        if call.phase is CallPhase.SENT:
            self._service.ended.append(call)
        if call.phase is CallPhase.ADMITTED:
            self.ledger.mark_not_run(call.attempt, now_ms)
            ran = self._service.runs[call.id]
            detail = f"{call.id} was refused but ran {ran} times"
            self._tally.invariants.check(Property.NOT_RUN_IS_TRUE, ran == 0, detail)
        elif ran and call.phase is CallPhase.SENT:
            self.ledger.mark_finished(call.attempt, self._service.answer(call), now_ms)
        else:
            self.ledger.mark_unknown(call.attempt, now_ms)

    def tick(self, now_ms):
        """Run the periodic work that is due, and return the messages to send."""
        outgoing = self.membership.tick(now_ms)
        self._apply_events()
        members = self.membership.live_hosts()
        ranked = [item.address for item in self.membership.rank("configuration")]
        self.configuration.set_view(members, ranked, now_ms)
        outgoing += self.configuration.tick(now_ms)
        if self.configuration.version > self.configuration.acknowledged_version:
            version = self.configuration.version
            outgoing += self.configuration.mark_in_force(version, now_ms)
        outgoing += self._continue_lookups(now_ms)
        outgoing += self._hand_over(now_ms)
        return outgoing

    def serve(self, now_ms):
        """Return the declarations that a request would be decided by, or None."""
        if self.configuration.is_ready(now_ms):
            return self.configuration.serving_declarations(now_ms)
        return None

    def leave(self, now_ms):
        """Begin a planned stop, and return the messages that announce it."""
        self.is_leaving = True
        return self.membership.leave(now_ms)

    def may_stop(self, now_ms):
        """Return whether the process can end without losing calls or records."""
        if (
            not self.is_leaving
            or self.calls
            or self.pending_lookups
            or not self.successor
        ):
            return False
        return not self.ledger.handover(self.successor, now_ms)

    def receive(self, message, now_ms):
        """Process a peer's message, and return the messages to send."""
        # A round trip through bytes keeps hosts from sharing mutable objects.
        data = msgspec.msgpack.encode(message)
        message = msgspec.msgpack.decode(data, type=type(message))
        return _dispatch_message(message, self, now_ms)

    def on_lookup_reply(self, reply, now_ms):
        """Process a lookup reply, and continue the call that waits for it."""
        result = self.ledger.on_lookup_reply(reply, now_ms)
        if result is None:
            return []
        call = self.pending_lookups.pop((reply.customer, reply.key))
        return self._handle_result(call, result)

    def _continue_lookups(self, now_ms):
        """End the calls that waited too long, and begin those again that can go on."""
        outgoing = []
        for call in list(self.pending_lookups.values()):
            if now_ms - call.begun_ms >= LOOKUP_TIMEOUT_MS:
                del self.pending_lookups[call.id]
                self._service.check_result(call, self._abandon(call, now_ms))
            elif call.lookup is None or not self.ledger.awaits_reply(call.lookup):
                del self.pending_lookups[call.id]
                outgoing += self._begin(call, now_ms)
        return outgoing

    def _abandon(self, call, now_ms):
        if call.lookup is None:
            return InTransit()
        return self.ledger.abandon_lookup(call.customer, call.key, now_ms)

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

    def _apply_events(self):
        for event in self.membership.take_events():
            if isinstance(event, SuccessorNamed):
                self.ledger.record_successor(event.incarnation, event.successor)


@functools.singledispatch
def _dispatch_message(message, host, now_ms):
    """Pass a message to the component for its type, and return the messages to send."""
    raise NotImplementedError(type(message))


@_dispatch_message.register(membership_messages.Probe)
@_dispatch_message.register(membership_messages.ProbeAck)
@_dispatch_message.register(membership_messages.ProbeRequest)
@_dispatch_message.register(membership_messages.MembersRequest)
@_dispatch_message.register(membership_messages.MembersPage)
def _(message, host, now_ms):
    return host.membership.on_message(message, now_ms)


@_dispatch_message.register(configuration_messages.ConfigurationDigest)
@_dispatch_message.register(configuration_messages.ConfigurationRequest)
@_dispatch_message.register(configuration_messages.ConfigurationContent)
@_dispatch_message.register(configuration_messages.HaltedVersions)
@_dispatch_message.register(configuration_messages.ConfigurationAck)
@_dispatch_message.register(configuration_messages.ConfigurationSummary)
@_dispatch_message.register(configuration_messages.ConfigurationSummaryRequest)
def _(message, host, now_ms):
    return host.configuration.on_message(message, now_ms)


@_dispatch_message.register
def _(message: ledger_messages.KeyLookup, host, now_ms):
    member = host.membership.find(message.requester)
    reply = host.ledger.on_lookup(message, now_ms)
    return [Outgoing(member.address, reply)] if member and reply else []


@_dispatch_message.register
def _(message: ledger_messages.LookupReply, host, now_ms):
    return host.on_lookup_reply(message, now_ms)


@_dispatch_message.register
def _(message: ledger_messages.Handover, host, now_ms):
    ack = host.ledger.adopt_handover(message, now_ms)
    member = host.membership.find(message.leaver)
    return [Outgoing(member.address, ack)] if member and ack else []


@_dispatch_message.register
def _(message: ledger_messages.HandoverAck, host, now_ms):
    host.ledger.on_handover_ack(message, now_ms)
    return []
