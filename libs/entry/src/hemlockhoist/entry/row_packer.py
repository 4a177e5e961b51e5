"""The form in which rows of the store go from one host to another."""

import functools

from hemlockhoist.base import PeerError, ResultCode, get_logger
from hemlockhoist.messages import MIN_PACKED_BYTES, FeedRow, pack_value, unpack_value
from hemlockhoist.store import Reading, StoreRow

_log = get_logger("entry.feeds")

# All followers ask for the newest change, most of them from the version before it.
MAX_KEPT_FORMS = 4


class RowPacker:
    """Packs rows for other hosts; each form of a value is made once.

    Load: a change of a configuration of hundreds of KB wakes all hosts of a failure
    domain at once, and one host sends it to all of them. Sent whole, it occupies the
    links of all for longer than their queries wait.
    """

    __slots__ = ("_pack",)

    def __init__(self):
        self._pack = functools.lru_cache(maxsize=MAX_KEPT_FORMS)(pack_value)

    def wire_row(self, row, copy, query):
        """Return a row as a ``FeedRow``.

        Parameters
        ==========
        row : StoreRow
        copy : TableCopy
            Holds the earlier values of the row.
        query : FeedQuestion
        """
        if not query.unpacks or row.value is None or len(row.value) < MIN_PACKED_BYTES:
            return FeedRow(key=row.key, value=row.value, version=row.version)
        base = None
        if query.since_version is not None:
            base = copy.row_as_of(row.key, query.since_version)
        return FeedRow(
            key=row.key,
            value=self._pack(row.value, base.value if base else None),
            version=row.version,
            is_packed=True,
            base_version=base.version if base else 0,
        )


def read_answer(answer, address, copy, sent_ms):
    """Return the ``Reading`` in an answer, or None if it cannot be used.

    Failure prevented: with a time of the store's clock that is too early, a key that
    was taken away would be accepted for ever.

    Parameters
    ==========
    answer : FeedAnswer
    address : str
        The host that sent it.
    copy : TableCopy or None
        What this host has of the table.
    sent_ms : int
        When the query was sent, on the clock that includes suspensions.
    """
    if answer.clock_ms < answer.store_ms:
        _log.warning("answer_without_clock", reader=address, clock_ms=answer.clock_ms)
        return None
    try:
        rows = tuple(read_row(row, copy) for row in answer.rows)
    except PeerError as error:
        _log.warning("rows_not_unpacked", reader=address, reason=error.message)
        return None
    return Reading(
        rows=rows,
        version=answer.version,
        store_ms=answer.store_ms,
        sent_ms=sent_ms,
        clock_ms=answer.clock_ms,
        relayed_by=address,
    )


def read_row(row, copy):
    """Return the ``StoreRow`` of a ``FeedRow``.

    Parameters
    ==========
    row : FeedRow
    copy : TableCopy or None
        What this host has of the table.

    Raises
    ======
    PeerError
        If the value cannot be unpacked, as its base is not known here or it is damaged.
    """
    value = row.value
    if row.is_packed:
        value = unpack_value(value, _base_value(row, copy))
    return StoreRow(key=row.key, value=value, version=row.version)


def _base_value(row, copy):
    if not row.base_version:
        return None
    base = copy.row_as_of(row.key, row.base_version) if copy is not None else None
    if base is None or base.version != row.base_version:
        text = f"{row.key} is packed by version {row.base_version}, which is not known"
        raise PeerError(text, ResultCode.PEER_MALFORMED)
    return base.value
