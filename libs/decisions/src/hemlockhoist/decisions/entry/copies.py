"""A copy of a table of the store, from which its changes can be told again."""

import collections

# Rows that were dropped, remembered so that others can be told of it. A fleet replaces
# some upstreams a minute, and whoever follows asks every second.
MAX_DROPPED = 1_024


class TableCopy:
    """The rows of a table as of the newest reading.

    Examples
    ========
    >>> from hemlockhoist.decisions.entry import TableCopy
    >>> from hemlockhoist.store import Reading, StoreRow
    >>> def reading(version, *rows):
    ...     rows = [StoreRow(key=k, value=v, version=version) for k, v in rows]
    ...     return Reading(rows=tuple(rows), version=version, store_ms=0, sent_ms=0)
    >>> copy = TableCopy()
    >>> copy.replace(reading(5, ("a", b"1"), ("b", b"1")))
    >>> copy.apply(reading(7, ("b", None)))
    >>> [(row.key, row.value) for row in copy.changes(5)]
    [('b', None)]
    >>> [row.key for row in copy.changes(None)]
    ['a']
    """

    __slots__ = ("_dropped", "_oldest", "_rows", "store_ms", "version")

    def __init__(self):
        self._rows = {}
        self._dropped = collections.OrderedDict()
        self._oldest = 0
        self.version = 0
        self.store_ms = 0

    def replace(self, reading):
        """Take a reading of all rows."""
        self._rows = {row.key: row for row in reading.rows}
        self._dropped.clear()
        # What was dropped before this reading is not known.
        self._oldest = reading.version
        self._record(reading)

    def apply(self, reading):
        """Take a reading of changes."""
        for row in reading.rows:
            if row.value is None:
                self._rows.pop(row.key, None)
                self._dropped[row.key] = row
                self._dropped.move_to_end(row.key)
            else:
                self._dropped.pop(row.key, None)
                self._rows[row.key] = row
        while len(self._dropped) > MAX_DROPPED:
            _, row = self._dropped.popitem(last=False)
            self._oldest = max(self._oldest, row.version)
        self._record(reading)

    def _record(self, reading):
        self.version = max(self.version, reading.version)
        self.store_ms = max(self.store_ms, reading.store_ms)

    def changes(self, since_version):
        """Return the rows changed since a version, or None where that is not known.

        Parameters
        ==========
        since_version : int or None
            None asks for all rows.
        """
        if since_version is None:
            return tuple(self._rows.values())
        if since_version < self._oldest:
            return None
        rows = (*self._rows.values(), *self._dropped.values())
        changed = (row for row in rows if row.version > since_version)
        return tuple(sorted(changed, key=lambda row: row.version))
