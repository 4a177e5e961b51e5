"""Orders and rows of moves for tests."""

from hemlockhoist.decisions.entry import MoveOrder
from hemlockhoist.decisions.served_versions import begun_move


def order(number, to_version):
    """Return the order with a number."""
    return MoveOrder(
        order_id=f"halls@{number}",
        pool="halls",
        to_version=to_version,
        duration_ms=12_000,
    )


ORDER = order(7, "v2")


def move(from_version="v1", given=ORDER, previous=None, at_ms=0):
    """Return the first row of an order's move."""
    return begun_move(previous, given, from_version, at_ms, 10_000)
