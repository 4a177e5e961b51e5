"""Rows of the declarations in the store: the content, and only its version."""

from hemlockhoist.declarations import StoredDeclarations
from hemlockhoist.declarations.stored import KEY, TABLE, VERSION_KEY
from hemlockhoist.store import RowPut

ABSENT_VERSION = 0


class DeclarationsRow:
    """Reads and writes the content row and the version row of the declarations.

    Both are written in one transaction, so their row versions are equal. Hosts poll the
    version row: with 1,700 customers the content row has about 270 KB, and reading it
    every 2 s would cost a host five times what it may spend on control.

    Parameters
    ==========
    tables : hemlockhoist.store.TableClient
    """

    __slots__ = ("_tables",)

    def __init__(self, tables):
        self._tables = tables

    async def read(self):
        """Return the content and the row's version.

        Returns
        =======
        (StoredDeclarations, int)
            Empty declarations and ``ABSENT_VERSION`` if there is no row.

        Raises
        ======
        PlatformError
        """
        row = await self._tables.read(TABLE, KEY, StoredDeclarations)
        if row is None:
            return StoredDeclarations(), ABSENT_VERSION
        return row.value, row.version

    async def read_newer(self, version):
        """Return the declarations if their version is above ``version``, or None.

        Raises
        ======
        PlatformError
        """
        row = await self._tables.read(TABLE, VERSION_KEY, int)
        if row is None or row.value <= version:
            return None
        stored, _ = await self.read()
        return stored.declarations

    async def write(self, stored, row_version, change_id):
        """Write both rows if their row version is still ``row_version``.

        Raises
        ======
        StoreConflict, StoreAnswerLost, PlatformError
            As for ``TableClient.transact``.
        """
        version = stored.declarations.version
        puts = (
            RowPut(table=TABLE, key=KEY, value=stored, if_version=row_version),
            RowPut(table=TABLE, key=VERSION_KEY, value=version, if_version=row_version),
        )
        await self._tables.transact(puts, change_id)
