"""Typed reads and compare-and-set writes on a ``RowStore``."""

import msgspec

from hemlockhoist.base import DECODE_ERRORS, PlatformError, get_logger
from hemlockhoist.store.rows import RowChange
from hemlockhoist.store.tables import Row, new_change_id

_log = get_logger("store.rows")


class TypedRows:
    """Typed access to a ``RowStore``, with the interface of ``TableClient``.

    A row's version is that of the transaction that wrote it, so it only increases. The
    outcome of a write whose answer was lost is not determined here: its condition
    prevents it from being applied after a later write, and the caller reads the row
    again.

    Parameters
    ==========
    store : RowStore
        Started and closed by the owner.
    """

    __slots__ = ("_store",)

    def __init__(self, store):
        self._store = store

    async def read(self, table, key, value_type):
        """Return one row, or None if it does not exist.

        Returns
        =======
        Row or None

        Raises
        ======
        PlatformError
            When the store failed, or the value is not of the requested type.
        """
        for row in await self._rows(table):
            if row.key == key:
                return _typed(table, row, value_type)
        return None

    async def list(self, table, value_type):
        """Return all rows of a table but those that are not of the requested type.

        Returns
        =======
        tuple of Row

        Raises
        ======
        PlatformError
        """
        found = []
        for row in await self._rows(table):
            try:
                found.append(_typed(table, row, value_type))
            except PlatformError as error:
                _log.warning("row_unreadable", table=table, reason=error.message)
        return tuple(found)

    async def _rows(self, table):
        reading = await self._store.read_table(table)
        return [row for row in reading.rows if row.value is not None]

    async def put(self, table, key, value, if_version, change_id=None):
        """Write one row if its version is still ``if_version``.

        Returns
        =======
        Row

        Raises
        ======
        StoreConflict
            When another client changed the row; nothing was written.
        StoreAnswerLost
            When the write may have been applied, or may still be.
        PlatformError
            When nothing was written.
        """
        change = RowChange(
            table=table,
            key=key,
            value=msgspec.json.encode(value),
            if_version=if_version,
        )
        version = await self._store.commit((change,))
        change_id = change_id or new_change_id()
        return Row(key=key, value=value, version=version, change_id=change_id)


def _typed(table, row, value_type):
    try:
        value = msgspec.json.decode(row.value, type=value_type)
    except DECODE_ERRORS as error:
        raise PlatformError(f"{table}/{row.key} cannot be decoded: {error}") from error
    return Row(key=row.key, value=value, version=row.version, change_id="")
