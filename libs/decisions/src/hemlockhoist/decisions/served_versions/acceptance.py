"""The row with which the move of an operator's order begins."""

from hemlockhoist.decisions.served_versions.roles import VersionRole, VersionRoles
from hemlockhoist.decisions.versions import MoveRequest, confirm_move, follow_move

AUTHOR = "hemlockhoist"


def accepted_row(row, order, presence, now_ms, remaining_ms):
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

    Returns
    =======
    Move or None

    Raises
    ======
    MoveError
    """
    if row is not None and row.move_id == order.order_id:
        return row
    roles = VersionRoles(row, order, presence)
    if is_served(order, roles, presence):
        others = [item for item in roles.serving() if item != order.to_version]
        request = _request(order, "", now_ms + remaining_ms)
        return confirm_move(row, request, now_ms, others)
    source = source_version(order, roles, presence)
    if not source and not _is_alone(order, roles, presence):
        return None
    return follow_move(row, _request(order, source, now_ms + remaining_ms), now_ms)


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
