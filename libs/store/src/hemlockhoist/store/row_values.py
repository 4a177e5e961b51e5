"""Decoding of rows one by one, so that an invalid one affects no other."""

import msgspec

from hemlockhoist.base import DECODE_ERRORS

# Longest part of a decoder's reason that is logged.
MAX_REASON_CHARACTERS = 200


def decode_row(row, value_type, log, event):
    """Return the value of a row, or None with a warning if it is invalid.

    Failure prevented: another writer leaves a row that its decoder fails on, and the
    rows that were read with it are lost too.

    Parameters
    ==========
    row : StoreRow or Row
        With a value in bytes.
    value_type : type
    log : structlog.BoundLogger
    event : str
        Event of the warning.
    """
    try:
        return msgspec.json.decode(row.value, type=value_type)
    except DECODE_ERRORS as error:
        log.warning(event, row=row.key, reason=str(error)[:MAX_REASON_CHARACTERS])
        return None
