"""The row with which the move of an operator's order begins."""

from hemlockhoist.decisions.served_versions.roles import VersionRole, role_of
from hemlockhoist.decisions.versions import MoveRequest, follow_move

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
    serving = {
        version: count
        for version, count in deployed.items()
        if count
        and version != order.to_version
        and role_of(version, row, order) is VersionRole.SERVING
    }
    if row is not None and row.serving_version in serving:
        return row.serving_version
    return max(serving, key=lambda name: (serving[name], name), default="")


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
    request = MoveRequest(
        move_id=order.order_id,
        pool=order.pool,
        from_version=source,
        to_version=order.to_version,
        moved_by_unix_ms=now_ms + remaining_ms,
        reason="ordered by an operator",
        author=AUTHOR,
    )
    return follow_move(row, request, now_ms)
