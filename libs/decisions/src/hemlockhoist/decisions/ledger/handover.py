"""Handing a leaving host's ledger to one named successor.

Without it each rolling replacement would turn every later repeat of a recent call into
"outcome unknown". The right to dispatch moves inside the message: the leaver gives it up
before the first part is sent, the successor has it once it has taken every part, and
nobody has it in between. The leaver names another successor only if the first has said
that it never will take the ledger; a lost acknowledgement is not such a word.
"""

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

# A part stays well below a peer message's size limit, and its decoding under a few
# milliseconds, so that a handover does not hold up streams.
MAX_RECORDS_PER_PART = 256
MAX_BYTES_PER_PART = 262_144


class HandoverState:
    """What a host remembers of its own handover and of those it takes.

    Attributes
    ==========
    successor : str
        Empty as long as this host has not handed its ledger on.
    """

    __slots__ = (
        "_adopted",
        "_adopting",
        "_changed",
        "_given_up",
        "_ranges",
        "_refused",
        "_unacknowledged",
        "_update",
        "successor",
    )

    def __init__(self):
        self.successor = ""
        self._ranges = {}
        self._unacknowledged = {}
        self._changed = {}
        self._given_up = []
        self._update = 0
        self._adopting = {}
        self._adopted = {}
        self._refused = set()

    def record_change(self, record):
        """Remember that a record changed after the ledger was handed on."""
        if self.successor:
            self._changed[record.id] = record

    def messages(self, ledger, successor):
        """Return the messages that the successor has not acknowledged."""
        if not self.successor:
            self._begin(ledger, successor)
        self._collect_updates(ledger)
        return list(self._unacknowledged.values())

    def on_ack(self, ledger, ack):
        """Forget what the successor has; take the ledger back if it refused."""
        if ack.leaver != ledger.incarnation or ack.successor != self.successor:
            return
        if not ack.accepted:
            self._take_back(ledger)
            return
        self._unacknowledged.pop((ack.update, ack.part), None)
        if not any(update == 0 for update, _ in self._unacknowledged):
            ledger.successors.register(ledger.incarnation, self.successor)

    def adopt(self, ledger, message, now_ms):
        """Take one message; return its acknowledgement, or None to have it again."""
        if message.successor != ledger.incarnation:
            return None
        leaver = message.leaver
        if leaver in self._adopted:
            self._take_update(ledger, message)
            return _ack(message, True)
        if leaver in self._refused or self.successor:
            self._refused.add(leaver)
            self._adopting.pop(leaver, None)
            return _ack(message, False)
        if message.update:
            return None
        parts = self._adopting.setdefault(leaver, {})
        parts[message.part] = message
        if len(parts) == message.parts:
            return self._complete(ledger, message, now_ms)
        return _ack(message, True)

    def _begin(self, ledger, successor):
        self.successor = successor
        self._ranges = dict(ledger.ranges)
        ledger.ranges.clear()
        ranges = tuple(_hand_range(item) for item in self._ranges.values())
        records = [_hand_record(ledger, record) for record in ledger.table]
        for record in ledger.table:
            self._give_up_right(record)
        groups = _split(records)
        for part, group in enumerate(groups):
            self._unacknowledged[(0, part)] = Handover(
                leaver=ledger.incarnation,
                successor=successor,
                part=part,
                parts=len(groups),
                ranges=ranges if part == 0 else (),
                records=tuple(group),
            )

    def _give_up_right(self, record):
        if record.state is RecordState.IDLE:
            record.state = RecordState.ELSEWHERE
            record.holder = self.successor
            record.query_number = 0
            self._given_up.append(record)

    def _collect_updates(self, ledger):
        for record in list(self._changed.values()):
            if record.state in IN_PROGRESS_STATES:
                continue
            del self._changed[record.id]
            handed = _hand_record(ledger, record)
            self._give_up_right(record)
            self._update += 1
            self._unacknowledged[(self._update, 0)] = Handover(
                leaver=ledger.incarnation,
                successor=self.successor,
                part=0,
                parts=1,
                update=self._update,
                records=(handed,),
            )

    def _take_back(self, ledger):
        """Hold the ledger again: the successor never had it and never will."""
        for record in self._given_up:
            if record.state is RecordState.ELSEWHERE:
                record.state = RecordState.IDLE
                record.holder = ""
                record.query_number = 0
        own = self._ranges[ledger.incarnation]
        own.last_epoch = None
        ledger.ranges.update(self._ranges)
        self.successor = ""
        self._given_up.clear()
        self._unacknowledged.clear()
        self._changed.clear()

    def _complete(self, ledger, message, now_ms):
        parts = self._adopting.pop(message.leaver)
        records = [item for part in parts.values() for item in part.records]
        if len(ledger.table) + len(records) > ledger.table.max_records:
            self._refused.add(message.leaver)
            return _ack(message, False)
        self._adopted[message.leaver] = set()
        ledger.successors.register(message.leaver, ledger.incarnation)
        for item in parts[0].ranges:
            _take_range(ledger, item, now_ms)
            ledger.update_range_retention(item.incarnation)
        handed = set()
        for item in records:
            _take_record(ledger, message.leaver, item)
            handed.add((item.customer, item.key))
        minted_by = {item.incarnation for item in parts[0].ranges}
        _claim_unseen_keys(ledger, message.leaver, minted_by, handed)
        return _ack(message, True)

    def _take_update(self, ledger, message):
        seen = self._adopted[message.leaver]
        if not message.update or message.update in seen:
            return
        seen.add(message.update)
        for item in message.records:
            record = _take_record(ledger, message.leaver, item)
            self.record_change(record)


def _hand_range(key_range):
    last_epoch = key_range.last_epoch
    if last_epoch is None:
        # The leaver goes on minting while it drains. Were it to stay at its present
        # epoch, a caller's new key would be old at once, and expire before its time.
        last_epoch = key_range.epoch + EPOCHS_KEPT
        key_range.last_epoch = last_epoch
    return HandedRange(
        incarnation=key_range.incarnation,
        last_epoch=last_epoch,
        epoch=key_range.epoch,
        epoch_ms=key_range.epoch_ms,
    )


def _hand_record(ledger, record):
    state = record.state
    holder = record.holder
    direct = record.direct
    if state in IN_PROGRESS_STATES:
        # Its outcome follows in an update; until then only the leaver can be asked.
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
    """Return groups of records, bounded by number and bytes; at least one group."""
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


def _take_range(ledger, item, now_ms):
    # The age inside the epoch is left out: the key is then kept a little longer.
    base_ms = now_ms - item.epoch * item.epoch_ms
    key_range = KeyRange(item.incarnation, item.epoch_ms, base_ms, item.last_epoch)
    key_range.advance(now_ms)
    ledger.ranges[item.incarnation] = key_range


def _take_record(ledger, leaver, item):
    """Merge a handed record into this ledger's own and return the result."""
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
        # This host has the right or the outcome itself: what the leaver knows is old.
        return record
    record.fingerprint = item.fingerprint
    if state is RecordState.ELSEWHERE:
        _point_elsewhere(ledger, record, item)
        return record
    record.state = state
    record.holder = ""
    record.direct = False
    record.query_number = 0
    if state is RecordState.DONE:
        ledger.table.answers.keep(record, item.answer)
    return record


def _point_elsewhere(ledger, record, item):
    ours = item.given_to == ledger.incarnation
    if ours and record.query_number and item.given_ask_number == record.query_number:
        # The grant whose reply was lost or is still on its way: it comes only once,
        # because taking it closes the wish that it names.
        record.state = RecordState.IDLE
        record.holder = ""
        record.query_number = 0
        return
    record.holder = item.holder
    record.direct = item.direct
    record.granted_to = item.given_to
    record.granted_query_number = item.given_ask_number


def _claim_unseen_keys(ledger, leaver, minted_by, handed):
    """Take the right to keys that this host asked for and the leaver never saw.

    Only keys of the ranges that came with the message count. Failure: this host gave a
    key that it minted itself to the leaver, after the leaver had drawn up its list. The
    list does not have the key, which runs at the leaver; taking the right back here
    would run it twice.
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
