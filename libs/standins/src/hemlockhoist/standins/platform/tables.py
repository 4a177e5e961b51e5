"""The table service's rows: compare-and-set, and transactions of several."""


class VersionMismatch(Exception):
    """A condition did not hold.

    Parameters
    ==========
    table, key : str
    actual_version : int
        The row's version; 0 when there is no row.
    """

    def __init__(self, table, key, actual_version):
        super().__init__(f"{table}/{key} is at version {actual_version}")
        self.table = table
        self.key = key
        self.actual_version = actual_version


class TableStore:
    """All tables, in memory.

    Versions count up by one from 1; an absent row has version 0.
    """

    __slots__ = ("_tables", "reads", "writes")

    def __init__(self):
        self._tables = {}
        self.reads = 0
        self.writes = 0

    def read(self, table, key):
        """Return ``(value, version)``, or None."""
        self.reads += 1
        return self._tables.get(table, {}).get(key)

    def rows(self, table):
        """Return a list of ``(key, value, version)``, sorted by key."""
        self.reads += 1
        found = self._tables.get(table, {})
        return [(key, *found[key]) for key in sorted(found)]

    def put_all(self, puts):
        """Write all rows, or none.

        Parameters
        ==========
        puts : sequence of (str, str, object, int or None)
            Table, key, value, and the version that the row must have; None writes
            whatever the version.

        Returns
        =======
        list of int
            The new versions.

        Raises
        ======
        VersionMismatch
        """
        for table, key, _value, expected in puts:
            actual_version = self._version(table, key)
            if expected is not None and expected != actual_version:
                raise VersionMismatch(table, key, actual_version)
        self.writes += len(puts)
        return [self._write(table, key, value) for table, key, value, _ in puts]

    def _version(self, table, key):
        row = self._tables.get(table, {}).get(key)
        return 0 if row is None else row[1]

    def _write(self, table, key, value):
        version = self._version(table, key) + 1
        self._tables.setdefault(table, {})[key] = (value, version)
        return version
