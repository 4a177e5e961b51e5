"""The key ledger: which host may dispatch a key, and what became of it.

A key names the incarnation (one run of one host process) that minted it. Only the
holder of the key's right may dispatch it: the minting incarnation, until it passes
the right on by answering a lookup, or to its successor when it leaves. A right that
passed on leaves a record behind that names the new holder. A holder that died takes
the right with it: the outcome is unknown from then on, never "not run".
"""

from hemlockhoist.base import DispatchError, Property, Refused, ResultCode
from hemlockhoist.decisions.ledger import handover, lookups
from hemlockhoist.decisions.ledger.keys import format_prefix
from hemlockhoist.decisions.ledger.record import (
    EPOCHS_KEPT,
    FOREIGN_EPOCHS_KEPT,
    IN_PROGRESS_STATES,
    KeyRange,
    KeyValidity,
    Record,
    RecordState,
)
from hemlockhoist.decisions.ledger.results import (
    AnswerNotKept,
    Attempt,
    Expired,
    Full,
    InProgress,
    NeverMinted,
    OutcomeUnknown,
    OwnedBy,
    Proceed,
    Replay,
    Reused,
    WithdrawnTo,
)
from hemlockhoist.decisions.ledger.successors import SuccessorMap
from hemlockhoist.decisions.ledger.table import RecordTable
from hemlockhoist.messages.ledger import KeyLookup

_VERDICTS = {KeyValidity.EXPIRED: Expired(), KeyValidity.NEVER_MINTED: NeverMinted()}


class KeyLedger:
    """Records of the idempotency keys that this incarnation answers for.

    Parameters
    ==========
    incarnation : str
        Unique over all runs of all hosts; no dots.
    retention_ms : int
        For how long after minting a key may at least be used.
    table : RecordTable
    invariants : hemlockhoist.base.InvariantLog
    """

    __slots__ = (
        "_query_number",
        "_attempt_number",
        "_handover",
        "_own_range",
        "_retention_ms",
        "_sent_number",
        "incarnation",
        "invariants",
        "ranges",
        "successors",
        "table",
    )

    def __init__(self, incarnation, retention_ms, table, invariants):
        self.incarnation = incarnation
        self.invariants = invariants
        self.table = table
        self.ranges = {}
        self.successors = SuccessorMap.from_config(incarnation)
        self._retention_ms = retention_ms
        self._own_range = None
        self._handover = handover.HandoverState()
        self._query_number = 0
        self._sent_number = 0
        self._attempt_number = 0

    @classmethod
    def from_config(
        cls, incarnation, retention_ms, max_records, max_answer_bytes, invariants
    ):
        """Return an empty ledger of a new incarnation.

        Parameters
        ==========
        incarnation : str
        retention_ms : int
        max_records : int
            New keys beyond are refused as not run.
        max_answer_bytes : int
            Older answers beyond are dropped; their records stay.
        invariants : hemlockhoist.base.InvariantLog
        """
        table = RecordTable(max_records, max_answer_bytes)
        return cls(incarnation, retention_ms, table, invariants)

    def mint_prefix(self, now_ms):
        """Return ``<incarnation>.<epoch>``, which callers' keys begin with.

        Raises
        ======
        Refused
            ``LEAVING``, when this host has drained for a whole retention: its new keys
            would be taken for invented ones at the successor, or expire at once.
        """
        self.advance(now_ms)
        own = self._own_range
        if own.last_epoch is not None and own.epoch > own.last_epoch:
            raise Refused(code=ResultCode.LEAVING)
        return format_prefix(self.incarnation, own.epoch)

    def begin(self, customer, key, fingerprint, now_ms):
        """Tell what to do with a call under ``key``.

        Parameters
        ==========
        customer : str
        key : IdempotencyKey
        fingerprint : bytes
            From ``fingerprint_request``.
        now_ms : int

        Returns
        =======
        Proceed, Replay, InProgress, OutcomeUnknown, AnswerNotKept, OwnedBy, \
        WithdrawnTo, Expired, NeverMinted, Reused or Full
            After ``Proceed`` the attempt must end with ``mark_not_run``, ``mark_finished`` or
            ``mark_unknown``, also when the caller has gone.
        """
        self.advance(now_ms)
        record = self.table.get(customer, key.text)
        if record is not None:
            return self._handle_repeat(record, fingerprint)
        key_range = self.ranges.get(key.incarnation)
        validity = (
            KeyValidity.VALID if key_range is None else key_range.validity(key.epoch)
        )
        if validity is not KeyValidity.VALID:
            return _VERDICTS[validity]
        if self.table.is_full:
            # Only of its own keys does this host know that they did not run.
            return InProgress() if key_range is None else Full()
        record = Record(customer, key, fingerprint, RecordState.IDLE)
        self.add_record(record)
        if key_range is not None:
            return self.admit(record)
        record.state = RecordState.ELSEWHERE
        record.holder = key.incarnation
        return self.query_holder(record)

    def mark_dispatched(self, attempt, now_ms):
        """Mark the point of no return: call it just before the first byte is sent.

        Nothing may be awaited between this call and the sending.

        Raises
        ======
        DispatchError
            The attempt is not the permitted one: nothing may be sent.
        """
        record = self._current(attempt)
        permitted = record is not None and record.state is RecordState.ADMITTED
        fresh = permitted and not record.dispatched
        detail = f"key {attempt.key}, attempt {attempt.number} at {self.incarnation}"
        check = self.invariants.check
        check(Property.DISPATCHED_AT_MOST_ONCE, fresh, detail)
        check(Property.NON_IDEMPOTENT_RUNS_AT_MOST_ONCE, permitted, detail)
        if not fresh:
            raise DispatchError(f"attempt is not permitted: {detail}")
        record.dispatched = True
        record.state = RecordState.DISPATCHED

    def mark_not_run(self, attempt, now_ms):
        """End an attempt of which no byte was sent; the key may be begun again."""
        record = self._current(attempt)
        if record is None:
            return
        self.invariants.check(
            Property.NOT_RUN_IS_TRUE, not record.dispatched, f"key {attempt.key}"
        )
        if record.dispatched:
            record.state = RecordState.UNKNOWN
        elif record.key.incarnation in self.ranges and not record.granted_to:
            self.table.remove(record)
        else:
            record.state = RecordState.IDLE
        self.record_change(record)

    def mark_finished(self, attempt, answer, now_ms):
        """End an attempt with the upstream's whole answer.

        Parameters
        ==========
        attempt : Attempt
        answer : StoredAnswer or None
            None when it is too large to be kept.
        now_ms : int
        """
        record = self._current(attempt)
        if record is None:
            return
        record.state = RecordState.DONE
        self.table.answers.keep(record, answer)
        self.record_change(record)

    def mark_unknown(self, attempt, now_ms):
        """End an attempt whose request may or may not have run."""
        record = self._current(attempt)
        if record is None or record.state is RecordState.DONE:
            return
        record.state = RecordState.UNKNOWN
        self.record_change(record)

    def abandon_lookup(self, customer, key, now_ms):
        """Stop waiting for the reply to a lookup; the outcome is unknown."""
        record = self.table.get(customer, key.text)
        if record is not None:
            record.sent_number = 0
        return OutcomeUnknown()

    def on_lookup(self, lookup, now_ms):
        """Return the reply to another host's ``KeyLookup``."""
        self.advance(now_ms)
        return lookups.answer_lookup(self, lookup)

    def on_lookup_reply(self, reply, now_ms):
        """Take a reply; return the waiting caller's result, or None.

        None stands for a reply that no caller waits for: late, repeated or crossed.
        A result ``OwnedBy`` means that another incarnation has to be asked next.
        """
        self.advance(now_ms)
        return lookups.apply_reply(self, reply)

    def record_successor(self, incarnation, successor):
        """Remember to which incarnation a host that left handed its ledger."""
        self.successors.register(incarnation, successor)

    def handover(self, successor, now_ms):
        """Hand the ledger to ``successor``; return the ``Handover`` messages due.

        From the first call on this host dispatches no key that it has not admitted
        already. Later calls return what is not yet acknowledged, with the outcomes of
        requests that were in progress; an empty list means that all is handed over.
        """
        self.advance(now_ms)
        return self._handover.messages(self, successor)

    def adopt_handover(self, message, now_ms):
        """Take a leaving host's ``Handover``; return the ``HandoverAck`` to send.

        None is returned for a message that can not be taken yet or is for another run
        at this address: the leaver sends it again.
        """
        self.advance(now_ms)
        return self._handover.adopt(self, message, now_ms)

    def on_handover_ack(self, ack, now_ms):
        """Take the successor's ``HandoverAck``."""
        self._handover.on_ack(self, ack)

    def record_change(self, record):
        """Have a record's change follow a ledger that was handed on."""
        self._handover.record_change(record)

    @property
    def in_progress_count(self):
        """How many attempts have not ended."""
        return sum(record.state in IN_PROGRESS_STATES for record in self.table)

    def advance(self, now_ms):
        """Move the epochs on and forget what is past its retention."""
        if self._own_range is None:
            epoch_ms = max(1, self._retention_ms // EPOCHS_KEPT)
            self._own_range = KeyRange(self.incarnation, epoch_ms, now_ms)
            self.ranges[self.incarnation] = self._own_range
        before = self._own_range.epoch
        self._own_range.advance(now_ms)
        for key_range in tuple(self.ranges.values()):
            key_range.advance(now_ms)
            if key_range.is_expired:
                del self.ranges[key_range.incarnation]
        if self._own_range.epoch != before:
            self.table.forget_until(self._own_range.epoch)

    def add_record(self, record):
        """Add a record, to be forgotten when its key has expired."""
        self.table.add(record, self._drop_epoch(record))

    def update_range_retention(self, incarnation):
        """Keep the records of a range that was taken over for as long as its keys.

        Failure: this host ran a key of another before it took that one's range over,
        and forgets the record by the time of its running, while the range, whose clock
        was delayed with the handover, still calls the key valid: it runs twice.
        """
        for record in self.table:
            if record.key.incarnation == incarnation:
                self.table.set_drop_epoch(record, self._drop_epoch(record))

    def _drop_epoch(self, record):
        own = self._own_range
        if record.key.incarnation == self.incarnation:
            drop_epoch = record.key.epoch + EPOCHS_KEPT + 1
        else:
            key_range = self.ranges.get(record.key.incarnation, own)
            own_epochs = -(-key_range.epoch_ms // own.epoch_ms)
            valid_epochs = record.key.epoch + EPOCHS_KEPT + 1 - key_range.epoch
            kept_epochs = max(FOREIGN_EPOCHS_KEPT, valid_epochs + 1)
            if key_range is own:
                kept_epochs = FOREIGN_EPOCHS_KEPT
            drop_epoch = own.epoch + kept_epochs * own_epochs
        return max(drop_epoch, own.epoch + 1)

    def admit(self, record):
        """Give the one permitted attempt at an idle record."""
        self.invariants.check(
            Property.NON_IDEMPOTENT_RUNS_AT_MOST_ONCE,
            record.state is RecordState.IDLE and not record.dispatched,
            f"key {record.key.text} admitted from {record.state} at {self.incarnation}",
        )
        self._attempt_number += 1
        record.state = RecordState.ADMITTED
        record.attempt_number = self._attempt_number
        record.sent_number = 0
        return Proceed(Attempt(record.customer, record.key.text, self._attempt_number))

    def query_holder(self, record):
        """Return the lookup to send to the incarnation that holds the right."""
        if not record.query_number:
            self._query_number += 1
            record.query_number = self._query_number
        self._sent_number += 1
        record.sent_number = self._sent_number
        holder = record.holder
        if not record.direct:
            holder = self.successors.resolve(holder)
        if holder == self.incarnation:
            # The right is lost on the way: each names the other as its holder.
            record.sent_number = 0
            return OutcomeUnknown()
        lookup = KeyLookup(
            asker=self.incarnation,
            holder=holder,
            ask_number=record.query_number,
            sent_number=record.sent_number,
            customer=record.customer,
            key=record.key.text,
            fingerprint=record.fingerprint,
        )
        if record.granted_to:
            return WithdrawnTo(holder, lookup)
        return OwnedBy(holder, lookup)

    def _handle_repeat(self, record, fingerprint):
        if record.fingerprint != fingerprint and record.is_bound:
            return Reused()
        if record.state is RecordState.IDLE:
            record.fingerprint = fingerprint
            return self.admit(record)
        if record.state is RecordState.UNKNOWN:
            return OutcomeUnknown()
        if record.state is RecordState.DONE:
            return AnswerNotKept() if record.answer is None else Replay(record.answer)
        if record.state in IN_PROGRESS_STATES or record.sent_number:
            return InProgress()
        record.redirects = 0
        record.fingerprint = fingerprint
        return self.query_holder(record)

    def _current(self, attempt):
        record = self.table.get(attempt.customer, attempt.key)
        if record is None or record.attempt_number != attempt.number:
            return None
        return record
