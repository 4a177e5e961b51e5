"""What changes in the record of a pool as versions are gone, back, or proven."""

import msgspec

from hemlockhoist.decisions.versions import (
    MoveState,
    OwnVerdict,
    Standing,
    cancel_move,
    with_row_standing,
    without_row_standing,
)

AUTHOR = "hemlockhoist"


def settled_row(row, presence, verdicts, now_ms):
    """Return the row of a pool's move by what is known of its versions now.

    Parameters
    ==========
    row : Move
    presence : PoolPresence
    verdicts : mapping of str to OwnVerdict
        By version, the end of a trial by its own answers.
    now_ms : int
        Time shared by all hosts.

    Returns
    =======
    Move
        ``row`` itself if nothing has changed.
    """
    row = _ended_row(row, presence, now_ms)
    for item in row.standings:
        settled = _settled(item, presence, verdicts.get(item.version))
        if settled is None:
            row = without_row_standing(row, item.version)
        elif settled != item:
            row = with_row_standing(row, settled)
    return row


def _ended_row(row, presence, now_ms):
    """Return the row of a move that ends as its new version is gone.

    Within its time, new upstreams may take the place of those that are lost. Failure
    prevented: the version is released long afterwards, without an order, and the move
    goes on under an order that nobody remembers.
    """
    if row.state is not MoveState.RUNNING or now_ms < row.moved_by_unix_ms:
        return row
    if not presence.is_gone(row.to_version):
        return row
    return cancel_move(row, row.move_id, "its version has no upstream left", AUTHOR)


def _settled(item, presence, verdict):
    """Return how a version stands now; None if nothing is to be kept of it."""
    is_gone = presence.is_gone(item.version)
    if item.standing is Standing.REPLACED:
        return None if is_gone else item
    if item.standing is Standing.PROVEN:
        return item
    if item.standing is Standing.UNPROVEN and verdict is OwnVerdict.PROVEN:
        return msgspec.structs.replace(item, standing=Standing.PROVEN)
    if item.standing is Standing.UNPROVEN and verdict is OwnVerdict.BAD:
        return msgspec.structs.replace(item, standing=Standing.HALTED)
    if item.is_gone and presence.deployed.get(item.version):
        # Other upstreams have its name now, which operators may have mended.
        return msgspec.structs.replace(
            item,
            standing=Standing.UNPROVEN,
            is_gone=False,
            return_count=item.return_count + 1,
        )
    return msgspec.structs.replace(item, is_gone=item.is_gone or is_gone)
