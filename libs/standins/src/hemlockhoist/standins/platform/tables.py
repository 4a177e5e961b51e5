"""Rows of the table service, with compare-and-set writes and transactions."""


class VersionMismatch(Exception):
    """Raised when a row is not at the version that a write requires.

    Parameters
    ==========
    table, key : str
    actual_version : int
        Version of the row; 0 when there is no row.
    """

    def __init__(self, table, key, actual_version):
        super().__init__(f"{table}/{key} is at version {actual_version}")
        self.table = table
        self.key = key
        self.actual_version = actual_version


class TableStore:
    """In-memory store of all tables.

    The version of a row starts at 1 and is incremented by each write; an absent row has
    version 0.
    """

    __slots__ = ("_tables", "reads", "writes")

    def __init__(self):
        self._tables = {}
        self.reads = 0
        self.writes = 0

    def read(self, table, key):
        """Return ``(value, version)`` of a row, or None."""
        self.reads += 1
        return self._tables.get(table, {}).get(key)

    def rows(self, table):
        """Return ``(key, value, version)`` of all rows of a table, sorted by key."""
        self.reads += 1
        found = self._tables.get(table, {})
        return [(key, *found[key]) for key in sorted(found)]

    def put_all(self, puts):
        """Write several rows atomically.

        Parameters
        ==========
        puts : sequence of (str, str, object, int or None)
            Table, key, value and required version of each row; None accepts any
            version.

        Returns
        =======
        list of int
            New versions of the rows.

        Raises
        ======
        VersionMismatch
            When a row is not at its required version; nothing is written then.
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
