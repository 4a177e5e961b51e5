"""The row with which the move of an operator's order begins."""

from hemlockhoist.decisions.served_versions.roles import (
    VersionRole,
    role_of,
    serving_versions,
)
from hemlockhoist.decisions.versions import MoveRequest, confirm_move, follow_move

AUTHOR = "hemlockhoist"


def source_version(row, order, deployed):
    """Return the version that an order moves away from, or "" if there is none.

    This is the one that serves by the record. Where its upstreams have been replaced
    without an order, or nothing is recorded yet, it is the version of most upstreams of
    those that serve: a few of another one may be left over from a release.

    Parameters
    ==========
    row : Move or None
        Latest row of the pool's moves.
    order : MoveOrder
    deployed : mapping of str to int
        Number of the pool's upstreams by version, without leaving ones.
    """
    serving = serving_versions(row, order, deployed)
    serving = {version: deployed[version] for version in serving}
    serving.pop(order.to_version, None)
    if row is not None and row.serving_version in serving:
        return row.serving_version
    return max(serving, key=lambda name: (serving[name], name), default="")


def is_served(row, order, deployed):
    """Return whether an order is for a version that serves already, by the record.

    Parameters
    ==========
    row : Move or None
    order : MoveOrder
    deployed : mapping of str to int
    """
    if row is None or not deployed[order.to_version]:
        return False
    role = role_of(order.to_version, row, order)
    if role is VersionRole.REPLACED:
        return not serving_versions(row, order, deployed)
    return role is VersionRole.SERVING and order.to_version == row.serving_version


def begun_move(row, order, source, now_ms, remaining_ms):
    """Return the row of an order's move, which replaces the current row.

    Parameters
    ==========
    row : Move or None
    order : MoveOrder
    source : str
        As returned by ``source_version``.
    now_ms : int
        Time shared by all hosts.
    remaining_ms : int
        Time left until all requests are to be on the new version.

    Raises
    ======
    MoveError
    """
    request = _request(order, source, now_ms + remaining_ms)
    return follow_move(row, request, now_ms)


def confirmed_move(row, order, deployed, now_ms):
    """Return the row of an order for a version that serves already.

    Parameters
    ==========
    row : Move or None
    order : MoveOrder
    deployed : mapping of str to int
    now_ms : int
        Time shared by all hosts.

    Raises
    ======
    MoveError
    """
    others = [
        x for x in serving_versions(row, order, deployed) if x != order.to_version
    ]
    request = _request(order, "", now_ms + order.duration_ms)
    return confirm_move(row, request, now_ms, others)


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
