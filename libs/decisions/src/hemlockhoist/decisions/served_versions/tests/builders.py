"""Orders, rows of moves and deployed versions for tests."""

import collections

from hemlockhoist.decisions.entry import MoveOrder
from hemlockhoist.decisions.served_versions import PoolPresence, accepted_row


def order(number, to_version):
    """Return the order with a number, which is the store's version that gave it."""
    return MoveOrder(
        order_id=f"halls@{number}",
        pool="halls",
        to_version=to_version,
        duration_ms=12_000,
        store_version=number,
    )


ORDER = order(7, "v2")


def presence(deployed, listed_versions=None, **fields):
    """Return the presence of deployed versions, given by name or with their numbers.

    Unless stated, each was listed before any order.
    """
    counts = collections.Counter(deployed)
    return PoolPresence(
        deployed=counts,
        live=frozenset(counts),
        listed_versions=listed_versions or dict.fromkeys(counts, 1),
        **fields,
    )


def move(from_version="v1", given=ORDER, previous=None, at_ms=0):
    """Return the first row of an order's move."""
    deployed = presence({from_version: 3, given.to_version: 3})
    return accepted_row(previous, given, deployed, at_ms, 10_000)
