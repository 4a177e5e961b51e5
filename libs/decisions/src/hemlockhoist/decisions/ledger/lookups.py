"""Answering another host's question about a key, and taking such an answer.

The right to dispatch is in one place, or on its way in one ``LookupGranted``. It
leaves the holder when the holder writes the grant down, before the reply is sent. The
grant names the asker's wish (``ask_number``); the asker takes it only while that wish
is open, and a wish is closed by taking a grant. So a reply that is late or comes twice
gives nothing, and a lost one is sent again when the asker asks again.
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

# A key's right moves once when a caller changes hosts and once for each host that
# left; a longer chain is a loop, and the caller is told "unknown" instead.
MAX_REDIRECTS = 4


def answer_lookup(ledger, lookup):
    """Return the reply to a lookup, after passing the right on where it can be.

    Parameters
    ==========
    ledger : KeyLedger
    lookup : hemlockhoist.messages.ledger.KeyLookup
    """
    if lookup.holder != ledger.incarnation:
        # Failure: a host restarted at the same address gets a question meant for the
        # run before it. It shows as a doubled run if the new process, which has no
        # records, took "no record" for "never run". It knows nothing of those keys.
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
        record.granted_to == lookup.asker
        and lookup.ask_number <= record.granted_query_number
    ):
        # Failure: a lookup delayed in the network arrives after the right went to the
        # asker and came back. Giving it again would strand the right, for the asker's
        # wish is closed: every later call would end as "unknown".
        return _reply(ledger, lookup, messages.LookupInProgress)
    return _grant_right(ledger, lookup, record)


def _answer_elsewhere(ledger, lookup, record):
    holder = ledger.successors.resolve(record.holder)
    wish = (lookup.asker, lookup.ask_number)
    if wish == (record.granted_to, record.granted_query_number):
        return _reply(ledger, lookup, messages.LookupGranted)
    if holder in (lookup.asker, ledger.incarnation):
        # The asker had the right and has forgotten what it did with it.
        return _reply(ledger, lookup, messages.LookupUnknown)
    return _reply(ledger, lookup, messages.LookupMoved, holder=holder)


def _grant_right(ledger, lookup, record):
    detail = f"key {lookup.key} given to {lookup.asker} by {ledger.incarnation}"
    ledger.invariants.check(
        Property.NOT_RUN_IS_TRUE,
        record.state is RecordState.IDLE and not record.dispatched,
        detail,
    )
    record.state = RecordState.ELSEWHERE
    record.fingerprint = lookup.fingerprint
    record.holder = lookup.asker
    record.direct = False
    record.granted_to = lookup.asker
    record.granted_query_number = lookup.ask_number
    record.query_number = 0
    ledger.record_change(record)
    return _reply(ledger, lookup, messages.LookupGranted)


def _reply(ledger, lookup, kind, **fields):
    return kind(
        asker=lookup.asker,
        replier=ledger.incarnation,
        ask_number=lookup.ask_number,
        sent_number=lookup.sent_number,
        customer=lookup.customer,
        key=lookup.key,
        **fields,
    )


def apply_reply(ledger, reply):
    """Take a reply; return the waiting caller's result or None.

    Parameters
    ==========
    ledger : KeyLedger
    reply : hemlockhoist.messages.ledger.LookupReply
    """
    record = ledger.table.get(reply.customer, reply.key)
    if record is None or reply.asker != ledger.incarnation:
        return None
    if record.state is not RecordState.ELSEWHERE:
        return None
    if record.query_number != reply.ask_number:
        return None
    waited_for = record.sent_number == reply.sent_number
    if not waited_for and not isinstance(reply, messages.LookupGranted):
        # Failure: "never ran" from a former question arrives after the key has run
        # elsewhere, and the caller books anew. Only a grant holds for all time.
        return None
    was_waiting = record.sent_number != 0
    record.sent_number = 0
    result = _apply(reply, ledger, record)
    ledger.record_change(record)
    if not was_waiting:
        # The right came too late for its caller; the next call may use it.
        return None
    if isinstance(reply, messages.LookupGranted):
        return ledger.admit(record)
    return result


@functools.singledispatch
def _apply(reply, ledger, record):
    """Change the record as the reply says and return the result for a caller.

    No reply removes the record. Failure: the minting host passes a key on, asks its new
    holder for a caller with a wrong body, and drops its record at "other request". The
    key then looks unseen there, and the next call runs a second time.
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
    # Failure: "not run" was true when the holder wrote it, but another copy of the
    # call reaches the holder and runs before the reply arrives here. Only the holder
    # itself may say "not run"; here the caller is told to come again.
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
