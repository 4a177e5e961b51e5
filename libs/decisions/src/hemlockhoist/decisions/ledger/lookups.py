"""Replies to lookups of other hosts, and the application of such replies.

The dispatch right of a key is held by one host or is in transit in one
``LookupGranted``. The holder releases it when it records the grant, before it sends the
reply. The grant names the requester's query (``query_number``). The requester applies a
grant only while that query is open, and applying it closes the query. A late or
duplicate reply therefore grants nothing, and a lost reply is sent again when the
requester repeats its query.
"""

import functools

from hemlockhoist.base import Property
from hemlockhoist.decisions.ledger.keys import parse_key
from hemlockhoist.decisions.ledger.record import (
    IN_PROGRESS_STATES,
    KeyValidity,
    Record,
    RecordState,
)
from hemlockhoist.decisions.ledger.results import (
    AnswerNotKept,
    Expired,
    InProgress,
    OutcomeUnknown,
    Replay,
    Reused,
)
from hemlockhoist.messages import ledger as messages

# A key's right is transferred once when a caller changes hosts and once for each host
# that left. A longer chain is treated as a loop, and the caller gets "unknown".
MAX_REDIRECTS = 4


def answer_lookup(ledger, lookup):
    """Return the reply to a lookup; transfer the dispatch right if it is available.

    There is no reply (None) while the key is in transit to this host's successor.

    Parameters
    ==========
    ledger : KeyLedger
    lookup : hemlockhoist.messages.ledger.KeyLookup
    """
    if lookup.holder != ledger.incarnation:
        # A host that restarted at the same address can receive a lookup for its
        # previous incarnation. The new process has no records of those keys; if it
        # treated "no record" as "never run", the request would run twice.
        return _reply(ledger, lookup, messages.LookupUnknown)
    record = ledger.table.get(lookup.customer, lookup.key)
    if record is None:
        return _answer_unseen(ledger, lookup)
    if record.is_bound and record.fingerprint != lookup.fingerprint:
        return _reply(ledger, lookup, messages.LookupReused)
    if record.state in IN_PROGRESS_STATES:
        return _reply(ledger, lookup, messages.LookupInProgress)
    if record.state is RecordState.DONE:
        return _reply(ledger, lookup, messages.LookupDone, answer=record.answer)
    if record.state is RecordState.UNKNOWN:
        return _reply(ledger, lookup, messages.LookupUnknown)
    if record.state is RecordState.ELSEWHERE:
        return _answer_elsewhere(ledger, lookup, record)
    return _answer_idle(ledger, lookup, record)


def _answer_unseen(ledger, lookup):
    key = parse_key(lookup.key)
    key_range = ledger.ranges.get(key.incarnation)
    if key_range is None:
        if ledger.is_range_in_transit(key.incarnation):
            return None
        successor = ledger.successors.resolve(ledger.incarnation)
        if successor != ledger.incarnation:
            return _reply(ledger, lookup, messages.LookupMoved, holder=successor)
        return _reply(ledger, lookup, messages.LookupUnknown)
    validity = key_range.validity(key.epoch)
    if validity is KeyValidity.EXPIRED:
        return _reply(ledger, lookup, messages.LookupExpired)
    if validity is KeyValidity.NEVER_MINTED:
        return _reply(ledger, lookup, messages.LookupUnknown)
    if ledger.table.is_full:
        return _reply(ledger, lookup, messages.LookupFull)
    record = Record(lookup.customer, key, lookup.fingerprint, RecordState.IDLE)
    ledger.add_record(record)
    return _grant_right(ledger, lookup, record)


def _answer_idle(ledger, lookup, record):
    if (
        record.granted_to == lookup.requester
        and lookup.query_number <= record.granted_query_number
    ):
        # This lookup was delayed in the network until after the right had gone to the
        # requester and come back. The requester's query is closed, so a second grant
        # would be ignored and the right lost: every later call would end as "unknown".
        return _reply(ledger, lookup, messages.LookupInProgress)
    return _grant_right(ledger, lookup, record)


def _answer_elsewhere(ledger, lookup, record):
    holder = ledger.successors.resolve(record.holder)
    query = (lookup.requester, lookup.query_number)
    if query == (record.granted_to, record.granted_query_number):
        return _reply(ledger, lookup, messages.LookupGranted)
    if ledger.is_record_in_transit(record):
        return None
    if holder in (lookup.requester, ledger.incarnation):
        # The requester had the right and has already dropped the outcome.
        return _reply(ledger, lookup, messages.LookupUnknown)
    return _reply(ledger, lookup, messages.LookupMoved, holder=holder)


def _grant_right(ledger, lookup, record):
    detail = f"key {lookup.key} granted to {lookup.requester} by {ledger.incarnation}"
    ledger.invariants.check(
        Property.NOT_RUN_IS_TRUE,
        record.state is RecordState.IDLE and not record.dispatched,
        detail,
    )
    record.state = RecordState.ELSEWHERE
    record.fingerprint = lookup.fingerprint
    record.holder = lookup.requester
    record.direct = False
    record.granted_to = lookup.requester
    record.granted_query_number = lookup.query_number
    record.query_number = 0
    ledger.record_change(record)
    return _reply(ledger, lookup, messages.LookupGranted)


def _reply(ledger, lookup, kind, **fields):
    return kind(
        requester=lookup.requester,
        responder=ledger.incarnation,
        query_number=lookup.query_number,
        sent_number=lookup.sent_number,
        customer=lookup.customer,
        key=lookup.key,
        **fields,
    )


def apply_reply(ledger, reply):
    """Apply a reply and return the result for the waiting caller, or None.

    Parameters
    ==========
    ledger : KeyLedger
    reply : hemlockhoist.messages.ledger.LookupReply
    """
    record = ledger.table.get(reply.customer, reply.key)
    if record is None or reply.requester != ledger.incarnation:
        return None
    if record.state is not RecordState.ELSEWHERE:
        return None
    if record.query_number != reply.query_number:
        return None
    waited_for = record.sent_number == reply.sent_number
    if not waited_for and not isinstance(reply, messages.LookupGranted):
        # A "never ran" reply to an earlier transmission can arrive after the key has
        # run elsewhere, and would make the caller repeat its request under a new key.
        # Only a grant stays true regardless of when it arrives.
        return None
    was_waiting = record.sent_number != 0
    record.sent_number = 0
    result = _apply(reply, ledger, record)
    ledger.record_change(record)
    if not was_waiting:
        # The reply arrived too late for its caller; the next call may use the right.
        return None
    if isinstance(reply, messages.LookupGranted):
        return ledger.admit(record)
    return result


@functools.singledispatch
def _apply(reply, ledger, record):
    """Update the record according to the reply and return the result for a caller.

    No reply removes the record. If the minting host transferred a key, queried its new
    holder for a caller with a wrong body and dropped its record on ``LookupReused``,
    the key would look unseen there and the next call would run it a second time.
    """
    raise NotImplementedError(type(reply))


@_apply.register
def _(reply: messages.LookupDone, ledger, record):
    record.state = RecordState.DONE
    ledger.table.answers.keep(record, reply.answer)
    return AnswerNotKept() if reply.answer is None else Replay(reply.answer)


@_apply.register
def _(reply: messages.LookupInProgress, ledger, record):
    return InProgress()


@_apply.register
def _(reply: messages.LookupUnknown, ledger, record):
    return OutcomeUnknown()


@_apply.register
def _(reply: messages.LookupExpired, ledger, record):
    return Expired()


@_apply.register
def _(reply: messages.LookupReused, ledger, record):
    return Reused()


@_apply.register
def _(reply: messages.LookupFull, ledger, record):
    # "Not run" was true when the holder sent it, but another copy of the call may reach
    # the holder and run before the reply arrives here. Only the holder itself may
    # report "not run"; this host reports "in progress", so that the caller retries.
    return InProgress()


@_apply.register
def _(reply: messages.LookupMoved, ledger, record):
    record.redirects += 1
    if record.redirects > MAX_REDIRECTS:
        return OutcomeUnknown()
    record.holder = reply.holder
    return ledger.query_holder(record)


@_apply.register
def _(reply: messages.LookupGranted, ledger, record):
    record.state = RecordState.IDLE
    record.holder = ""
    record.direct = False
    record.query_number = 0
