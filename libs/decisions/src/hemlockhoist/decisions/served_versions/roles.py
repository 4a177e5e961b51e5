"""What part a version of a pool has in serving it, by what is recorded of it."""

import enum

from hemlockhoist.decisions.versions import (
    MoveState,
    Standing,
    find_standing,
    known_standings,
)


class VersionRole(enum.Enum):
    """Part of a version in serving its pool."""

    # Serves; nothing speaks against it.
    SERVING = "serving"
    # Gets the share of the move that goes on.
    TRIAL = "on trial"
    # Ordered, and its move has not begun.
    WITHHELD = "withheld"
    # Served until a later one took over.
    REPLACED = "replaced"
    # Was on trial, and its order ended without a verdict.
    UNPROVEN = "unproven"
    # Was found bad.
    HALTED = "halted"


_ROLES_OF_STANDINGS = {
    Standing.REPLACED: VersionRole.REPLACED,
    Standing.UNPROVEN: VersionRole.UNPROVEN,
    Standing.HALTED: VersionRole.HALTED,
}


def is_pending(row, order):
    """Return whether an order is given whose move has not begun."""
    return order is not None and (row is None or row.move_id != order.order_id)


def role_of(version, row, order):
    """Return the ``VersionRole`` of a version.

    A version that no order has named serves as soon as it is deployed: operators
    release versions without orders.

    Parameters
    ==========
    version : str
    row : Move or None
        Latest row of the pool's moves.
    order : MoveOrder or None
        Latest order of the pool.
    """
    pending = is_pending(row, order)
    is_ordered = pending and version == order.to_version
    if row is None:
        return VersionRole.WITHHELD if is_ordered else VersionRole.SERVING
    if row.state is MoveState.RUNNING and version == row.to_version:
        # The operator's latest order is for another move, which replaces this one.
        return VersionRole.UNPROVEN if pending else VersionRole.TRIAL
    standing = find_standing(known_standings(row), version)
    if standing is not None:
        return _ROLES_OF_STANDINGS[standing.standing]
    if is_ordered and version != row.serving_version:
        return VersionRole.WITHHELD
    return VersionRole.SERVING


def serving_versions(row, order, deployed):
    """Return the deployed versions that serve, sorted.

    Parameters
    ==========
    row : Move or None
    order : MoveOrder or None
    deployed : mapping of str to int
        Number of the pool's upstreams by version, without leaving ones.
    """
    return tuple(
        version
        for version in sorted(deployed)
        if deployed[version] and role_of(version, row, order) is VersionRole.SERVING
    )
