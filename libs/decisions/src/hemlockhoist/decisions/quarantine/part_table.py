"""The records of suspected and blocked parts, merged with those of other hosts."""

import msgspec

from hemlockhoist.messages import PartRecord, PartState

# Parts with evidence against them. Others are dropped for new ones beyond this;
# blocked ones are not, so that made-up parts can't push them out.
MAX_RECORDS = 512
MAX_BLOCKED = 256
# Crashes that a record names; more would not change its state.
MAX_CRASH_IDS = 16
# Evidence against a part that is not blocked is withdrawn after this time.
EVIDENCE_TTL_MS = 600_000


class PartTable:
    """Holds one ``PartRecord`` for each part or request with evidence against it.

    Parameters
    ==========
    max_records, max_blocked : int, optional
    is_request : bool, optional
        Whether the records are of whole requests, not of parts.
    """

    __slots__ = (
        "_changed_ms",
        "_is_request",
        "_max_blocked",
        "_max_records",
        "_records",
    )

    def __init__(
        self, max_records=MAX_RECORDS, max_blocked=MAX_BLOCKED, is_request=False
    ):
        self._max_records = max_records
        self._max_blocked = max_blocked
        self._is_request = is_request
        self._records = {}
        self._changed_ms = {}

    def __iter__(self):
        return iter(tuple(self._records.values()))

    def get(self, part):
        """Return the record of a part; an empty one without evidence."""
        known = self._records.get(part)
        return known or PartRecord(part=part, is_request=self._is_request)

    def state(self, part):
        """Return the ``PartState`` of a part."""
        record = self._records.get(part)
        return PartState.CLEAR if record is None else PartState(record.state)

    def changed_ms(self, part):
        """Return when the record of a part last changed here."""
        return self._changed_ms[part]

    def count_blocked(self):
        """Return the number of blocked parts."""
        return sum(item.state == PartState.BLOCKED for item in self._records.values())

    def put(self, record, now_ms):
        """Store a record of this host; return False if there is no room for it."""
        if not self._has_room(record):
            return False
        self._records[record.part] = record
        self._changed_ms[record.part] = now_ms
        return True

    def _has_room(self, record):
        known = self._records.get(record.part)
        if record.state == PartState.BLOCKED:
            was_blocked = known is not None and known.state == PartState.BLOCKED
            return was_blocked or self.count_blocked() < self._max_blocked
        if known is not None or len(self._records) < self._max_records:
            return True
        oldest = min(
            (part for part in self._records if not self._is_blocked(part)),
            key=self._age_rank,
        )
        self._drop(oldest)
        return True

    def _is_blocked(self, part):
        return self._records[part].state == PartState.BLOCKED

    def _age_rank(self, part):
        return self._records[part].state, self._changed_ms[part]

    def _drop(self, part):
        del self._records[part]
        del self._changed_ms[part]

    def merge(self, record, now_ms):
        """Merge another host's record; return whether that changed anything.

        A state that this release does not know counts as the nearest that it knows.
        """
        state = min(max(record.state, PartState.CLEAR), PartState.BLOCKED)
        record = msgspec.structs.replace(record, state=state)
        known = self._records.get(record.part)
        merged = record if known is None else _merged(known, record)
        if merged == known:
            return False
        if known is None and _is_empty(merged):
            return False
        return self.put(merged, now_ms)

    def withdraw(self, part, now_ms, crashes=()):
        """Withdraw the evidence against a part but for some crashes."""
        record = self.get(part)
        changed = PartRecord(
            part=part,
            epoch=record.epoch + 1,
            crashes=tuple(sorted(crashes)),
            is_request=self._is_request,
        )
        self.put(changed, now_ms)
        return changed

    def expire(self, now_ms):
        """Withdraw old evidence; return the changed records."""
        changed = []
        for record in tuple(self._records.values()):
            age_ms = now_ms - self._changed_ms[record.part]
            if record.state == PartState.BLOCKED or age_ms < EVIDENCE_TTL_MS:
                continue
            if record.state == PartState.SUSPECTED:
                changed.append(self.withdraw(record.part, now_ms))
            else:
                self._drop(record.part)
        return changed


def _is_empty(record):
    return not record.crashes and record.state == PartState.CLEAR


def _merged(known, other):
    if other.epoch != known.epoch:
        return max(known, other, key=lambda record: record.epoch)
    crashes = sorted({*known.crashes, *other.crashes})[:MAX_CRASH_IDS]
    return msgspec.structs.replace(
        known,
        crashes=tuple(crashes),
        state=max(known.state, other.state),
        tries=max(known.tries, other.tries),
    )
