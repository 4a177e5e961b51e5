"""The row with which the move of an operator's order begins."""

from hemlockhoist.decisions.served_versions.roles import VersionRole, VersionRoles
from hemlockhoist.decisions.versions import (
    MoveRequest,
    Standing,
    VersionStanding,
    confirm_move,
    find_standing,
    follow_move,
    with_row_standing,
)

AUTHOR = "hemlockhoist"


def accepted_row(row, order, presence, now_ms, remaining_ms, superseded=None):
    """Return the row with which an order begins, or None while that is not known.

    Failure prevented: after an outage of the store, entries of the ordered version are
    back before those of the one that serves. Without a proof that no other is deployed,
    the order would be reported as completed, and operators would stop what serves.

    Parameters
    ==========
    row : Move or None
        Latest row of the pool's moves, which is replaced.
    order : MoveOrder
    presence : PoolPresence
    now_ms : int
        Time shared by all hosts.
    remaining_ms : int
        Time left until all requests are to be on the new version.
    superseded : mapping of str to str, optional
        By version, the order for it that was replaced before its row was written.

    Returns
    =======
    Move or None

    Raises
    ======
    MoveError
    """
    if row is not None and row.move_id == order.order_id:
        return row
    roles = VersionRoles(row, order, presence, superseded)
    if is_served(order, roles, presence):
        others = [item for item in roles.serving() if item != order.to_version]
        request = _request(order, "", now_ms + remaining_ms)
        return _with_superseded(confirm_move(row, request, now_ms, others), superseded)
    source = source_version(order, roles, presence)
    if not source and not _is_alone(order, roles, presence):
        return None
    request = _request(order, source, now_ms + remaining_ms)
    return _with_superseded(follow_move(row, request, now_ms), superseded)


def _with_superseded(row, superseded):
    """Return the row with the versions whose orders have no row as unproven."""
    for version, order_id in (superseded or {}).items():
        is_known = find_standing(row.standings, version) is not None
        if is_known or version in (row.from_version, row.to_version):
            continue
        unproven = VersionStanding(
            version=version, standing=Standing.UNPROVEN, move_id=order_id
        )
        row = with_row_standing(row, unproven)
    return row


def source_version(order, roles, presence):
    """Return the version that an order moves away from, or "" if none is deployed.

    This is the one that serves by the record. Where its upstreams have been replaced
    without an order, or nothing is recorded yet, it is the version of most upstreams of
    those that serve: a few of another one may be left over from a release.

    Parameters
    ==========
    order : MoveOrder
    roles : VersionRoles
    presence : PoolPresence
    """
    serving = [item for item in roles.serving() if item != order.to_version]
    if roles.recorded_version in serving:
        return roles.recorded_version
    counts = presence.deployed
    return max(serving, key=lambda name: (counts[name], name), default="")


def is_served(order, roles, presence):
    """Return whether an order is for a version that serves already.

    Parameters
    ==========
    order : MoveOrder
    roles : VersionRoles
    presence : PoolPresence
    """
    ordered = order.to_version
    if not presence.deployed.get(ordered):
        return False
    role = roles.of(ordered)
    if role is VersionRole.SERVING:
        if ordered == roles.recorded_version:
            return True
        return _is_alone(order, roles, presence)
    if role is VersionRole.REPLACED:
        return _is_alone(order, roles, presence)
    return False


def _is_alone(order, roles, presence):
    """Return whether no version serves but, perhaps, the ordered one."""
    if not presence.deployed or not presence.is_settled:
        return False
    return set(roles.serving()) <= {order.to_version} and not roles.may_return()


def _request(order, source, moved_by_ms):
    return MoveRequest(
        move_id=order.order_id,
        pool=order.pool,
        from_version=source,
        to_version=order.to_version,
        moved_by_unix_ms=moved_by_ms,
        reason="ordered by an operator",
        author=AUTHOR,
    )
