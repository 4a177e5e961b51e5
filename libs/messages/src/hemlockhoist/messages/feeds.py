"""Messages by which hosts relay rows of the store to one another."""

import enum

import msgspec

from hemlockhoist.messages.codes import code_of


class FeedState(enum.IntEnum):
    """Whether an answer contains the requested changes."""

    OK = 0
    # The reader cannot reach the store, or has not read the table yet.
    FAILED = 1
    # The reader no longer knows which rows were dropped since the requested version.
    HISTORY_GONE = 2


class FeedRow(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """A row of the store.

    Parameters
    ==========
    key : str
    value : bytes or None
        None if the row was dropped.
    version : int
    is_packed : bool
        Whether the value is in packed form.
    base_version : int
        Version of the row's earlier value by which it was packed; 0 for none.
    """

    key: str
    value: bytes | None
    version: int
    is_packed: bool = False
    base_version: int = 0


class LeftUpstream(
    msgspec.Struct, frozen=True, kw_only=True, tag=code_of, array_like=True
):
    """Notifies a home that an upstream it granted was removed from the platform's list.

    Parameters
    ==========
    upstream_id : str
    version : int
        Version of the list that removed it.
    """

    upstream_id: str
    version: int


class EvacuatedDomain(
    msgspec.Struct, frozen=True, kw_only=True, tag=code_of, array_like=True
):
    """Notifies a home that the failure domain of an upstream it granted is evacuated.

    Parameters
    ==========
    failure_domain : str
    version : int
        Version of the operator's order.
    """

    failure_domain: str
    version: int


class ColdUpstream(
    msgspec.Struct, frozen=True, kw_only=True, tag=code_of, array_like=True
):
    """Notifies a home that an upstream it granted as warm is cold.

    Parameters
    ==========
    upstream_id : str
    version : int
        Version of the upstream's row in the platform's list.
    cold_ms : int
        Remaining time for which it is cold.
    """

    upstream_id: str
    version: int
    cold_ms: int


class FeedQuestion(
    msgspec.Struct, frozen=True, kw_only=True, tag=code_of, array_like=True
):
    """Requests the changes of a table from a host that reads the store.

    Parameters
    ==========
    number : int
        Echoed by the answer.
    table : str
    since_version : int or None
        None requests all rows.
    wait_ms : int
        Longest time that the answer may wait for a change.
    unpacks : bool
        Whether the sender can read packed values.
    is_announcement : bool
        Whether the sender tells of a change that it has, and expects no answer.
    """

    number: int
    table: str
    since_version: int | None
    wait_ms: int
    unpacks: bool = False
    is_announcement: bool = False


class FeedAnswer(
    msgspec.Struct, frozen=True, kw_only=True, tag=code_of, array_like=True
):
    """Rows of a table as last read by a reader.

    Parameters
    ==========
    number : int
        Number of the ``FeedQuestion``.
    state : FeedState
    rows : tuple of FeedRow
    version : int
        Version of the store at the reader's latest reading of the table.
    store_ms : int
        Time of that reading on the store's clock.
    clock_ms : int
        Upper bound of the time on the store's clock when the answer was sent.
    is_reading : bool
        Whether the reader, though it has no newer reading, is waiting for the store.
    answer_ms : int
        How long the store has recently taken for an answer to the reader.
    """

    number: int
    state: FeedState = FeedState.OK
    rows: tuple[FeedRow, ...] = ()
    version: int = 0
    store_ms: int = 0
    clock_ms: int = 0
    is_reading: bool = False
    answer_ms: int = 0
