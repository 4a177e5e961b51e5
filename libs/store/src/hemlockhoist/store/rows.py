"""Interface of a row store whose tables share one version counter."""

import abc

import msgspec

from hemlockhoist.base import PlatformError


class StoreRow(msgspec.Struct, frozen=True, kw_only=True):
    """A row read from the store.

    Parameters
    ==========
    key : str
    value : bytes or None
        None for a deleted row.
    version : int
        Version of the transaction that wrote or deleted the row.
    """

    key: str
    value: bytes | None
    version: int


class Reading(msgspec.Struct, frozen=True, kw_only=True):
    """Result of one read of the store.

    Parameters
    ==========
    rows : tuple of StoreRow
    version : int
        The store's newest version when it answered.
    store_ms : int
        Time of the answer on the store's own monotonic clock.
    sent_ms : int
        When the request was sent, on this host's clock that includes suspensions.
    clock_ms : int or None
        For a reading relayed by another host, the store's clock at the time that host
        sent it, or later. None for a reading of this host's own.
    relayed_by : str
        Address of the host that relayed it; empty for a reading of this host's own.
    """

    rows: tuple[StoreRow, ...]
    version: int
    store_ms: int
    sent_ms: int
    clock_ms: int | None = None
    relayed_by: str = ""


class RowChange(msgspec.Struct, frozen=True, kw_only=True):
    """A conditional write or deletion of a row.

    Parameters
    ==========
    table, key : str
    value : bytes or None
        None deletes the row.
    if_version : int or None
        Version that the row must have; 0 when it must not exist, None for no condition.
    """

    table: str
    key: str
    value: bytes | None
    if_version: int | None = None


class HistoryGone(PlatformError):
    """The store no longer holds the changes since the requested version."""


class RowStore(abc.ABC):
    """A store of small rows in tables, with transactions and a change feed.

    Attributes
    ==========
    answer_ms : int
        How long the store has recently taken for an answer; 0 if that is not known.
    """

    answer_ms = 0

    @abc.abstractmethod
    async def read_table(self, table):
        """Return a ``Reading`` of all rows of a table.

        Raises
        ======
        PlatformError
        """

    @abc.abstractmethod
    async def read_changes(self, table, since_version, wait_ms):
        """Return a ``Reading`` of the rows changed since a version.

        Waits up to ``wait_ms`` for the first change; without one the reading has no
        rows, but still carries the store's version and time.

        Raises
        ======
        HistoryGone
            When the whole table has to be read again.
        PlatformError
        """

    @abc.abstractmethod
    async def commit(self, changes):
        """Apply all changes if all their conditions hold, or none.

        Parameters
        ==========
        changes : sequence of RowChange

        Returns
        =======
        int
            The store's version after the transaction.

        Raises
        ======
        StoreConflict
            When a condition did not hold; nothing was written.
        StoreAnswerLost
            When the outcome is unknown: the changes may have been applied, or may
            still be.
        PlatformError
            When nothing was written.
        """
