"""The key ledger: which host may dispatch a key, and the outcome of its request.

A key names the incarnation (one run of one host process) that minted it. Only the
holder of the key's dispatch right may dispatch it. The minting incarnation holds the
right until it transfers it in the reply to a lookup, or to its successor when it
leaves. After a transfer a record that names the new holder stays behind. If a holder
dies, the right is lost with it: from then on the outcome is unknown, never "not run".
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
    InTransit,
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

_RESULTS_BY_VALIDITY = {
    KeyValidity.EXPIRED: Expired(),
    KeyValidity.NEVER_MINTED: NeverMinted(),
}


class KeyLedger:
    """Ledger of the idempotency keys that this incarnation is responsible for.

    Parameters
    ==========
    incarnation : str
        Unique over all runs of all hosts; contains no dots.
    retention_ms : int
        Minimum time after minting for which a key can be used.
    table : RecordTable
    invariants : hemlockhoist.base.InvariantLog
    """

    __slots__ = (
        "_attempt_number",
        "_handover",
        "_own_range",
        "_query_number",
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
            Limit beyond which new keys are refused as not run.
        max_answer_bytes : int
            Limit beyond which the oldest answers are dropped; their records stay.
        invariants : hemlockhoist.base.InvariantLog
        """
        table = RecordTable(max_records, max_answer_bytes)
        return cls(incarnation, retention_ms, table, invariants)

    def mint_prefix(self, now_ms):
        """Return the prefix ``<incarnation>.<epoch>`` for keys of callers.

        Raises
        ======
        Refused
            With code ``LEAVING`` if this host has been draining for a whole retention
            period: the successor would treat its new keys as never minted, or they
            would expire at once.
        """
        self.advance(now_ms)
        own = self._own_range
        if own.last_epoch is not None and own.epoch > own.last_epoch:
            raise Refused(code=ResultCode.LEAVING)
        return format_prefix(self.incarnation, own.epoch)

    def begin(self, customer, key, fingerprint, now_ms):
        """Return how to proceed with a call that carries ``key``.

        Parameters
        ==========
        customer : str
        key : IdempotencyKey
        fingerprint : bytes
            Result of ``fingerprint_request``.
        now_ms : int

        Returns
        =======
        Proceed, Replay, InProgress, InTransit, OutcomeUnknown, AnswerNotKept, \
        OwnedBy, WithdrawnTo, Expired, NeverMinted, Reused or Full
            After ``Proceed`` the attempt must be ended by ``mark_not_run``,
            ``mark_finished`` or ``mark_unknown``, even if the caller has disconnected.
        """
        self.advance(now_ms)
        record = self.table.get(customer, key.text)
        if record is not None:
            return self._handle_repeat(record, fingerprint)
        if self.is_range_in_transit(key.incarnation):
            return InTransit()
        key_range = self.ranges.get(key.incarnation)
        validity = (
            KeyValidity.VALID if key_range is None else key_range.validity(key.epoch)
        )
        if validity is not KeyValidity.VALID:
            return _RESULTS_BY_VALIDITY[validity]
        if self.table.is_full:
            # This host can state "not run" only for keys of its own ranges.
            return InProgress() if key_range is None else Full()
        record = Record(customer, key, fingerprint, RecordState.IDLE)
        self.add_record(record)
        if key_range is not None:
            return self.admit(record)
        record.state = RecordState.ELSEWHERE
        record.holder = key.incarnation
        return self.query_holder(record)

    def mark_dispatched(self, attempt, now_ms):
        """Mark an attempt as dispatched, immediately before its first byte is sent.

        Nothing may be awaited between this call and the sending of the request.

        Raises
        ======
        DispatchError
            If the attempt is not the permitted one; nothing may be sent.
        """
        record = self._current_record(attempt)
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
        """End an attempt of which no byte was sent; the key can be used again."""
        record = self._current_record(attempt)
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
        """End an attempt with the complete answer of the upstream.

        Parameters
        ==========
        attempt : Attempt
        answer : StoredAnswer or None
            None if the answer is too large to keep.
        now_ms : int
        """
        record = self._current_record(attempt)
        if record is None:
            return
        record.state = RecordState.DONE
        self.table.answers.keep(record, answer)
        self.record_change(record)

    def mark_unknown(self, attempt, now_ms):
        """End an attempt for which it is unknown whether the request ran."""
        record = self._current_record(attempt)
        if record is None or record.state is RecordState.DONE:
            return
        record.state = RecordState.UNKNOWN
        self.record_change(record)

    def abandon_lookup(self, customer, key, now_ms):
        """Stop waiting for the reply to a lookup and return ``OutcomeUnknown``."""
        record = self.table.get(customer, key.text)
        if record is not None:
            record.sent_number = 0
        return OutcomeUnknown()

    def on_lookup(self, lookup, now_ms):
        """Return the reply to another host's ``KeyLookup``.

        None while the key is in transit; the other host sends its lookup again.
        """
        self.advance(now_ms)
        return lookups.answer_lookup(self, lookup)

    def on_lookup_reply(self, reply, now_ms):
        """Apply a reply and return the result for the waiting caller, or None.

        None means that no caller waits for the reply because it is late, repeated or
        for another lookup. ``OwnedBy`` means that another incarnation has to be queried
        next.
        """
        self.advance(now_ms)
        return lookups.apply_reply(self, reply)

    def record_successor(self, incarnation, successor):
        """Record the incarnation to which a host that left handed its ledger over."""
        self.successors.register(incarnation, successor)

    def handover(self, successor, now_ms):
        """Hand the ledger over to ``successor``; return the ``Handover`` messages due.

        From the first call on, this host dispatches only keys that it has already
        admitted. Later calls return the messages not yet acknowledged and the outcomes
        of requests that were in progress. An empty list means that the handover is
        complete.
        """
        self.advance(now_ms)
        return self._handover.messages(self, successor)

    def adopt_handover(self, message, now_ms):
        """Apply a leaving host's ``Handover`` and return the ``HandoverAck`` to send.

        Returns None for a message that cannot be applied yet or is addressed to
        another incarnation at this address; the leaving host sends it again.
        """
        self.advance(now_ms)
        return self._handover.adopt(self, message, now_ms)

    def on_handover_ack(self, ack, now_ms):
        """Process a ``HandoverAck`` of the successor."""
        self._handover.on_ack(self, ack)

    def is_range_in_transit(self, incarnation):
        """Return whether the keys of an incarnation are in transit to the successor.

        Until the successor has confirmed them, neither host can dispatch them, and the
        successor treats a lookup of them as one of keys that it never had.
        """
        return self._handover.is_range_in_transit(incarnation)

    def is_record_in_transit(self, record):
        """Return whether a single key is in transit to the successor."""
        return self._handover.is_record_in_transit(record)

    def awaits_reply(self, lookup):
        """Return whether a lookup of this host is still open.

        It ends without a reply if the key arrives by a handover.
        """
        record = self.table.get(lookup.customer, lookup.key)
        return (
            record is not None
            and record.state is RecordState.ELSEWHERE
            and record.query_number == lookup.query_number
        )

    def record_change(self, record):
        """Record that a record changed, so that the successor is sent the change."""
        self._handover.record_change(record)

    @property
    def in_progress_count(self):
        """Number of attempts that have not ended."""
        return sum(record.state in IN_PROGRESS_STATES for record in self.table)

    def advance(self, now_ms):
        """Advance the epochs and drop the records that are past their retention."""
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
        """Add a record that is dropped once its key has expired."""
        self.table.add(record, self._drop_epoch(record))

    def update_range_retention(self, incarnation):
        """Keep the records of a range that was taken over for as long as its keys.

        This host may have run a key of another host before it took over that host's
        range. If it dropped the record according to the time of the run, while the
        range, whose clock lags by the delay of the handover, still considered the key
        valid, the key would run twice.
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
        """Return ``Proceed`` with the only permitted attempt of an idle record."""
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
        """Return the lookup to send to the holder of the dispatch right."""
        holder = record.holder
        if not record.direct:
            holder = self.successors.resolve(holder)
        if self.is_record_in_transit(record) or self.is_range_in_transit(holder):
            record.sent_number = 0
            return InTransit()
        if not record.query_number:
            self._query_number += 1
            record.query_number = self._query_number
        self._sent_number += 1
        record.sent_number = self._sent_number
        if holder == self.incarnation:
            # The right was lost in transit: each host names the other as the holder.
            record.sent_number = 0
            return OutcomeUnknown()
        lookup = KeyLookup(
            requester=self.incarnation,
            holder=holder,
            query_number=record.query_number,
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

    def _current_record(self, attempt):
        record = self.table.get(attempt.customer, attempt.key)
        if record is None or record.attempt_number != attempt.number:
            return None
        return record
