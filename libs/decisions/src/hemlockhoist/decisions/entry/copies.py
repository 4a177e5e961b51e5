"""A copy of a store table that can report its changes since a version."""

import collections

import msgspec

# Deleted rows that are kept, so that followers learn of the deletions. A fleet replaces
# some upstreams per minute, and followers request changes every second.
MAX_DELETED = 1_024
# Values from this size on keep their predecessors, by which their changes are packed.
LARGE_VALUE_BYTES = 2_048
# Followers that lag by more versions of a large value get it whole.
MAX_PREDECESSORS = 4


class TableCopy:
    """Holds the rows of a table as of the newest reading.

    Attributes
    ==========
    version : int
        Version of the store at the newest reading.
    changed_version : int
        Version of the newest change of the table that is known.
    store_ms : int
        Time of the newest reading on the store's clock.

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

    __slots__ = (
        "_deleted",
        "_oldest",
        "_predecessors",
        "_rows",
        "changed_version",
        "store_ms",
        "version",
    )

    def __init__(self):
        self._rows = {}
        # Earlier rows of each key with a large value, oldest first.
        self._predecessors = {}
        self._deleted = collections.OrderedDict()
        # Changes since this version are known; None before the first full reading.
        self._oldest = None
        self.version = 0
        self.changed_version = 0
        self.store_ms = 0

    def replace(self, reading):
        """Replace all rows by those of a full reading; an older one is ignored.

        Load prevented: the store has dropped its history, and all hosts that read
        through this one would need all rows again. The changes since the rows that were
        known before are kept instead: what the reading lacks has been deleted meanwhile.
        """
        if reading.version < self.version:
            return
        if self._oldest is None:
            # Deletions before the first reading are not known.
            self._oldest = reading.version
        keys = {row.key for row in reading.rows}
        lost = [row for key, row in self._rows.items() if key not in keys]
        deleted = (
            msgspec.structs.replace(row, value=None, version=reading.version)
            for row in lost
        )
        self._put_all((*reading.rows, *deleted))
        self._record(reading)

    def apply(self, reading):
        """Apply a reading of changed rows."""
        self._put_all(reading.rows)
        self._record(reading)

    def _put_all(self, rows):
        for row in rows:
            self.changed_version = max(self.changed_version, row.version)
            if not self._is_known(row):
                self._put(row)
        while len(self._deleted) > MAX_DELETED:
            _, row = self._deleted.popitem(last=False)
            self._oldest = max(self._oldest or 0, row.version)

    def _is_known(self, row):
        """Return whether this copy has a row, or a newer one of its key."""
        known = self._rows.get(row.key) or self._deleted.get(row.key)
        return known is not None and known.version >= row.version

    def _put(self, row):
        self._keep_predecessor(row)
        if row.value is None:
            self._rows.pop(row.key, None)
            self._deleted[row.key] = row
            self._deleted.move_to_end(row.key)
        else:
            self._deleted.pop(row.key, None)
            self._rows[row.key] = row

    def _keep_predecessor(self, row):
        """Keep the row that a newer one of its key is about to replace."""
        known = self._rows.get(row.key)
        if known is None or known.version == row.version:
            return
        if len(known.value) >= LARGE_VALUE_BYTES:
            empty = collections.deque(maxlen=MAX_PREDECESSORS)
            self._predecessors.setdefault(row.key, empty).append(known)

    def _record(self, reading):
        self.version = max(self.version, reading.version)
        self.store_ms = max(self.store_ms, reading.store_ms)

    def changes(self, since_version):
        """Return the rows changed since a version, or None if they are not known.

        Parameters
        ==========
        since_version : int or None
            None requests all rows.
        """
        if since_version is None:
            return tuple(self._rows.values())
        if self._oldest is None or since_version < self._oldest:
            return None
        rows = (*self._rows.values(), *self._deleted.values())
        changed = (row for row in rows if row.version > since_version)
        return tuple(sorted(changed, key=lambda row: row.version))

    def row_as_of(self, key, version):
        """Return the newest known row of a key up to a version, or None.

        Only of large values are earlier rows known, and not all of them.
        """
        known = [*self._predecessors.get(key, ()), self._rows.get(key)]
        found = [row for row in known if row is not None and row.version <= version]
        return found[-1] if found else None
