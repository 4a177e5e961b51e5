"""Version moves that operators order through a row of the store."""

import enum

import msgspec

from hemlockhoist.decisions.versions import MoveState


class MoveOrder(msgspec.Struct, frozen=True, kw_only=True):
    """An operator's order to move a pool's requests to a version.

    Parameters
    ==========
    order_id : str
        Unique for each order of a pool, and the same on all hosts.
    pool, to_version : str
    duration_ms : int
        Time within which the move must be complete.
    store_version : int
        The store's version at which the order was given; 0 if that is not known.
    """

    order_id: str
    pool: str
    to_version: str
    duration_ms: int
    store_version: int = 0


class MoveOrderState(enum.Enum):
    """The state of an order as reported to operators."""

    IN_PROGRESS = "in progress"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled back"


def order_state(row, old_in_flight):
    """Return the state of an order to report to operators.

    An order is reported as completed only when the last request on any other version
    has ended: operators stop their upstreams on that report, and answers in progress
    there would be lost.

    Parameters
    ==========
    row : hemlockhoist.decisions.versions.Move
    old_in_flight : int
        Number of requests in flight on the upstreams of other versions.
    """
    if row.state is MoveState.FINISHED:
        return MoveOrderState.IN_PROGRESS if old_in_flight else MoveOrderState.COMPLETED
    if row.state is MoveState.RUNNING:
        return MoveOrderState.IN_PROGRESS
    return MoveOrderState.ROLLED_BACK
