"""Messages by which hosts pass the store's rows on to one another."""

import enum

import msgspec

from hemlockhoist.messages.codes import code_of


class FeedState(enum.IntEnum):
    """What an answer is worth."""

    OK = 0
    # The reader itself can not reach the store, or does not know the table yet.
    FAILED = 1
    # The reader no longer knows what was dropped since the version asked for.
    HISTORY_GONE = 2


class FeedRow(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """A row of the store.

    Parameters
    ==========
    key : str
    value : bytes or None
        None where the row was dropped.
    version : int
    """

    key: str
    value: bytes | None
    version: int


class LeftUpstream(
    msgspec.Struct, frozen=True, kw_only=True, tag=code_of, array_like=True
):
    """Tells a home that an upstream which it granted has left the platform's list.

    Parameters
    ==========
    upstream_id : str
    version : int
        Of the list at which it left.
    """

    upstream_id: str
    version: int


class EvacuatedDomain(
    msgspec.Struct, frozen=True, kw_only=True, tag=code_of, array_like=True
):
    """Tells a home that the failure domain of an upstream it granted is evacuated.

    Parameters
    ==========
    failure_domain : str
    version : int
        Of the order.
    """

    failure_domain: str
    version: int


class ColdUpstream(
    msgspec.Struct, frozen=True, kw_only=True, tag=code_of, array_like=True
):
    """Tells a home that an upstream which it granted as a warm one is cold.

    Parameters
    ==========
    upstream_id : str
    version : int
        Of the upstream's entry in the platform's list.
    cold_ms : int
        For how long it is still cold.
    """

    upstream_id: str
    version: int
    cold_ms: int


class FeedQuestion(
    msgspec.Struct, frozen=True, kw_only=True, tag=code_of, array_like=True
):
    """Asks a host that reads the store for the changes of a table.

    Parameters
    ==========
    number : int
        Echoed by the answer.
    table : str
    since_version : int or None
        None asks for all rows.
    wait_ms : int
        How long the answer may wait for a change.
    """

    number: int
    table: str
    since_version: int | None
    wait_ms: int


class FeedAnswer(
    msgspec.Struct, frozen=True, kw_only=True, tag=code_of, array_like=True
):
    """What a reader knows of a table.

    Parameters
    ==========
    number : int
    state : FeedState
    rows : tuple of FeedRow
    version : int
        Of the store, at the reader's newest reading of the table.
    store_ms : int
        The moment of that reading on the store's clock.
    clock_ms : int
        The store's clock when the answer left, at the latest that it can be.
    """

    number: int
    state: FeedState = FeedState.OK
    rows: tuple[FeedRow, ...] = ()
    version: int = 0
    store_ms: int = 0
    clock_ms: int = 0
