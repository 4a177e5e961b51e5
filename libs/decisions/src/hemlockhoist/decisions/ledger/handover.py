"""Handover of a leaving host's ledger to one named successor.

Without it every rolling replacement would make each later repeat of a recent call end
as "outcome unknown". The messages transfer the dispatch rights: the leaving host
releases them before it sends the first part, the successor holds them once it has
received every part, and no host holds them in between. The leaving host names another
successor only if the first one has explicitly refused the ledger; a lost
acknowledgement is no refusal.
"""

import collections

from hemlockhoist.decisions.ledger.keys import parse_key
from hemlockhoist.decisions.ledger.record import (
    EPOCHS_KEPT,
    IN_PROGRESS_STATES,
    KeyRange,
    KeyValidity,
    Record,
    RecordState,
)
from hemlockhoist.messages.ledger import (
    HandedRange,
    HandedRecord,
    Handover,
    HandoverAck,
)

# A part stays well below the size limit of peer messages and is decoded within a few
# milliseconds, so that a handover does not delay streams.
MAX_RECORDS_PER_PART = 256
MAX_BYTES_PER_PART = 262_144
# Number of leaving hosts whose ledgers are being received. A handover takes seconds, and
# few hosts have the same successor; a host that died in the middle sends no more.
MAX_INCOMPLETE = 8


class HandoverState:
    """State of a host's own handover and of the handovers that it receives.

    Attributes
    ==========
    successor : str
        Empty as long as this host has not begun to hand its ledger over.
    """

    __slots__ = (
        "_applied_updates",
        "_changed",
        "_handed_ranges",
        "_incoming_parts",
        "_last_update",
        "_refused",
        "_released",
        "_released_updates",
        "_unacknowledged",
        "_unconfirmed_counts",
        "successor",
    )

    def __init__(self):
        self.successor = ""
        self._handed_ranges = {}
        self._unacknowledged = {}
        # Number of messages of each update that are not acknowledged.
        self._unconfirmed_counts = collections.Counter()
        self._changed = {}
        self._released = []
        # Number of the update that carries each released record, by id.
        self._released_updates = {}
        self._last_update = 0
        self._incoming_parts = {}
        self._applied_updates = {}
        self._refused = set()

    def is_range_in_transit(self, incarnation):
        """Return whether the keys of an incarnation were sent and not yet confirmed."""
        return incarnation in self._handed_ranges and self._is_unconfirmed(0)

    def is_record_in_transit(self, record):
        """Return whether a record was released to a successor that did not confirm."""
        update = self._released_updates.get(record.id)
        return update is not None and self._is_unconfirmed(update)

    def _is_unconfirmed(self, update):
        return update in self._unconfirmed_counts

    def record_change(self, record):
        """Record that a record changed after the handover began."""
        if self.successor:
            self._changed[record.id] = record

    def messages(self, ledger, successor):
        """Return the messages that the successor has not yet acknowledged."""
        if not self.successor:
            self._begin(ledger, successor)
        self._collect_updates(ledger)
        return list(self._unacknowledged.values())

    def on_ack(self, ledger, ack):
        """Drop the acknowledged message, or reclaim the ledger if it was refused."""
        if ack.leaver != ledger.incarnation or ack.successor != self.successor:
            return
        if not ack.accepted:
            self._reclaim(ledger)
            return
        if self._unacknowledged.pop((ack.update, ack.part), None) is not None:
            self._unconfirmed_counts[ack.update] -= 1
            if not self._unconfirmed_counts[ack.update]:
                del self._unconfirmed_counts[ack.update]
        if not self._is_unconfirmed(0):
            ledger.successors.register(ledger.incarnation, self.successor)

    def adopt(self, ledger, message, now_ms):
        """Apply a message; return its acknowledgement, or None to get it sent again."""
        if message.successor != ledger.incarnation:
            return None
        leaver = message.leaver
        if leaver in self._applied_updates:
            self._apply_update(ledger, message)
            return _ack(message, True)
        if leaver in self._refused or self.successor:
            self._refused.add(leaver)
            self._incoming_parts.pop(leaver, None)
            return _ack(message, False)
        if message.update:
            return None
        if leaver not in self._incoming_parts:
            self._make_room()
        parts = self._incoming_parts.setdefault(leaver, {})
        parts[message.part] = message
        if len(parts) == message.part_count:
            return self._complete(ledger, message, now_ms)
        return _ack(message, True)

    def _make_room(self):
        """Refuse the ledger that has been incomplete for longest, if there are many.

        Its host, if it is alive, then takes its ledger back.
        """
        if len(self._incoming_parts) >= MAX_INCOMPLETE:
            oldest = next(iter(self._incoming_parts))
            del self._incoming_parts[oldest]
            self._refused.add(oldest)

    def _begin(self, ledger, successor):
        self.successor = successor
        self._handed_ranges = dict(ledger.ranges)
        ledger.ranges.clear()
        ranges = tuple(_export_range(item) for item in self._handed_ranges.values())
        records = [_export_record(ledger, record) for record in ledger.table]
        for record in ledger.table:
            self._release_right(record, 0)
        groups = _split(records)
        self._unconfirmed_counts[0] = len(groups)
        for part, group in enumerate(groups):
            self._unacknowledged[(0, part)] = Handover(
                leaver=ledger.incarnation,
                successor=successor,
                part=part,
                part_count=len(groups),
                ranges=ranges if part == 0 else (),
                records=tuple(group),
            )

    def _release_right(self, record, update):
        if record.state is RecordState.IDLE:
            record.state = RecordState.ELSEWHERE
            record.holder = self.successor
            record.query_number = 0
            self._released.append(record)
            self._released_updates[record.id] = update

    def _collect_updates(self, ledger):
        for record in list(self._changed.values()):
            if record.state in IN_PROGRESS_STATES:
                continue
            del self._changed[record.id]
            handed = _export_record(ledger, record)
            self._last_update += 1
            self._release_right(record, self._last_update)
            self._unconfirmed_counts[self._last_update] = 1
            self._unacknowledged[(self._last_update, 0)] = Handover(
                leaver=ledger.incarnation,
                successor=self.successor,
                part=0,
                part_count=1,
                update=self._last_update,
                records=(handed,),
            )

    def _reclaim(self, ledger):
        """Reclaim the ledger, which the successor has refused and never held."""
        for record in self._released:
            if record.state is RecordState.ELSEWHERE:
                record.state = RecordState.IDLE
                record.holder = ""
                record.query_number = 0
        own = self._handed_ranges[ledger.incarnation]
        own.last_epoch = None
        ledger.ranges.update(self._handed_ranges)
        self.successor = ""
        self._released.clear()
        self._released_updates.clear()
        self._unacknowledged.clear()
        self._unconfirmed_counts.clear()
        self._changed.clear()

    def _complete(self, ledger, message, now_ms):
        parts = self._incoming_parts.pop(message.leaver)
        records = [item for part in parts.values() for item in part.records]
        if len(ledger.table) + len(records) > ledger.table.max_records:
            self._refused.add(message.leaver)
            return _ack(message, False)
        self._applied_updates[message.leaver] = set()
        ledger.successors.register(message.leaver, ledger.incarnation)
        for item in parts[0].ranges:
            _adopt_range(ledger, item, now_ms)
            ledger.update_range_retention(item.incarnation)
        handed = set()
        for item in records:
            _merge_record(ledger, message.leaver, item)
            handed.add((item.customer, item.key))
        minted_by = {item.incarnation for item in parts[0].ranges}
        _claim_unseen_keys(ledger, message.leaver, minted_by, handed)
        return _ack(message, True)

    def _apply_update(self, ledger, message):
        seen = self._applied_updates[message.leaver]
        if not message.update or message.update in seen:
            return
        seen.add(message.update)
        for item in message.records:
            record = _merge_record(ledger, message.leaver, item)
            self.record_change(record)


def _export_range(key_range):
    last_epoch = key_range.last_epoch
    if last_epoch is None:
        # The leaving host keeps minting keys while it drains. If the range ended at the
        # present epoch, new keys would count as old and expire before their retention.
        last_epoch = key_range.epoch + EPOCHS_KEPT
        key_range.last_epoch = last_epoch
    return HandedRange(
        incarnation=key_range.incarnation,
        last_epoch=last_epoch,
        epoch=key_range.epoch,
        epoch_ms=key_range.epoch_ms,
    )


def _export_record(ledger, record):
    state = record.state
    holder = record.holder
    direct = record.direct
    if state in IN_PROGRESS_STATES:
        # The outcome follows in an update; until then only this host can be queried.
        state = RecordState.ELSEWHERE
        holder = ledger.incarnation
        direct = True
    return HandedRecord(
        customer=record.customer,
        key=record.key.text,
        fingerprint=record.fingerprint,
        state=state.value,
        holder=holder,
        direct=direct,
        given_to=record.granted_to,
        given_ask_number=record.granted_query_number,
        answer=record.answer,
    )


def _split(records):
    """Split records into groups bounded in number and bytes; at least one group."""
    groups = [[]]
    size_bytes = 0
    for record in records:
        answer_bytes = 0 if record.answer is None else record.answer.size_bytes()
        size_bytes += answer_bytes
        full = len(groups[-1]) >= MAX_RECORDS_PER_PART
        if groups[-1] and (full or size_bytes > MAX_BYTES_PER_PART):
            groups.append([])
            size_bytes = answer_bytes
        groups[-1].append(record)
    return groups


def _ack(message, accepted):
    return HandoverAck(
        leaver=message.leaver,
        successor=message.successor,
        part=message.part,
        update=message.update,
        accepted=accepted,
    )


def _adopt_range(ledger, item, now_ms):
    # The time elapsed within the epoch is ignored, so keys are kept slightly longer.
    base_ms = now_ms - item.epoch * item.epoch_ms
    key_range = KeyRange(item.incarnation, item.epoch_ms, base_ms, item.last_epoch)
    key_range.advance(now_ms)
    ledger.ranges[item.incarnation] = key_range


def _merge_record(ledger, leaver, item):
    """Merge a record of a handover into this ledger and return the merged record."""
    record = ledger.table.get(item.customer, item.key)
    state = RecordState(item.state)
    if record is None:
        key = parse_key(item.key)
        record = Record(item.customer, key, item.fingerprint, RecordState.ELSEWHERE)
        record.holder = leaver
        ledger.add_record(record)
    if record.state is RecordState.UNKNOWN and state is RecordState.DONE:
        record.state = RecordState.ELSEWHERE
    if record.state is not RecordState.ELSEWHERE:
        # This host has the right or the outcome, so the leaving host's state is older.
        return record
    record.fingerprint = item.fingerprint
    if state is RecordState.ELSEWHERE:
        _update_holder(ledger, record, item)
        return record
    record.state = state
    record.holder = ""
    record.direct = False
    record.query_number = 0
    if state is RecordState.DONE:
        ledger.table.answers.keep(record, item.answer)
    return record


def _update_holder(ledger, record, item):
    ours = item.given_to == ledger.incarnation
    if ours and record.query_number and item.given_ask_number == record.query_number:
        # This is the grant whose reply was lost or is in transit. It is applied only
        # once, because applying it closes the query that it names.
        record.state = RecordState.IDLE
        record.holder = ""
        record.query_number = 0
        return
    record.holder = item.holder
    record.direct = item.direct
    record.granted_to = item.given_to
    record.granted_query_number = item.given_ask_number


def _claim_unseen_keys(ledger, leaver, minted_by, handed):
    """Claim keys that this host queried and of which the leaving host has no record.

    Only keys of the ranges in the handover are claimed. This host may have granted a
    key that it minted itself to the leaving host after that host compiled its records.
    Such a key is missing from the records although it runs at the leaving host;
    claiming it here would run it twice.
    """
    for record in ledger.table:
        if record.id in handed or record.key.incarnation not in minted_by:
            continue
        key_range = ledger.ranges[record.key.incarnation]
        if record.state is not RecordState.ELSEWHERE or record.holder != leaver:
            continue
        if key_range.validity(record.key.epoch) is KeyValidity.VALID:
            record.state = RecordState.IDLE
            record.holder = ""
            record.query_number = 0
        else:
            ledger.table.remove(record)
