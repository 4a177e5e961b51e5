"""A version move as the table service keeps it, and the changes it may go through.

The functions are pure: a host reads the row, applies one, and writes the result by
compare-and-set. Of two operators that race, the one whose write comes second finds
the first one's row and gets ``MOVE_CONFLICT``.
"""

import enum

import msgspec

from hemlockhoist.base import LeaseLost, MoveError, ResultCode

FULL_PERMILLE = 1000


class MoveState(enum.Enum):
    """Where a move stands; every state but ``RUNNING`` ends it."""

    RUNNING = "running"
    FINISHED = "finished"
    ROLLED_BACK = "taken_back"
    CANCELLED = "cancelled"


class LaneShare(msgspec.Struct, frozen=True, kw_only=True):
    """The share that one route's calls of one kind have reached.

    Parameters
    ==========
    route : str
    idempotent : bool
    share_permille : int
    """

    route: str
    idempotent: bool
    share_permille: int


class MoveRequest(msgspec.Struct, frozen=True, kw_only=True):
    """What an operator asks for.

    Parameters
    ==========
    move_id : str
        Minted by the operator's client, so that a repeated order is recognised.
    pool, from_version, to_version : str
    moved_by_unix_ms : int
        All traffic is to be on ``to_version`` by then.
    reason, author : str
        For any colleague to read.
    """

    move_id: str
    pool: str
    from_version: str
    to_version: str
    moved_by_unix_ms: int
    reason: str
    author: str


class Move(msgspec.Struct, frozen=True, kw_only=True):
    """The row of a pool's latest move.

    Parameters
    ==========
    move_id, pool, from_version, to_version : str
    started_unix_ms, moved_by_unix_ms : int
    state : MoveState
    share_permille : int
        The largest of ``lanes``; no host grants more.
    reason, author : str
        Of the latest change of state.
    fencing : int
        Of the last lease under which the row was widened.
    lanes : tuple of LaneShare
        A route that is not listed has the rules' first share.
    """

    move_id: str
    pool: str
    from_version: str
    to_version: str
    started_unix_ms: int
    moved_by_unix_ms: int
    state: MoveState = MoveState.RUNNING
    share_permille: int = 0
    reason: str = ""
    author: str = ""
    fencing: int = 0
    lanes: tuple[LaneShare, ...] = ()
    ended_unix_ms: int = 0

    @property
    def serving_version(self):
        """The version that serves once the move has ended."""
        if self.state is MoveState.FINISHED:
            return self.to_version
        return self.from_version


class MoveAnnouncement(msgspec.Struct, frozen=True, kw_only=True):
    """What hosts tell one another of a pool's move.

    Parameters
    ==========
    row : Move
        As last read from the table service, or heard.
    halted : dict
        Halted versions of the move and the reasons.
    """

    row: Move
    halted: dict[str, str]


def start_move(row, request, unix_ms):
    """Return the row of a new move.

    Parameters
    ==========
    row : Move or None
        What the table service holds for the pool.
    request : MoveRequest
    unix_ms : int

    Returns
    =======
    Move
        ``row`` itself where it is this very move: an answer was lost and the order
        came again.

    Raises
    ======
    MoveError
        ``MOVE_CONFLICT`` where another move runs or another version serves;
        ``DECLARATION_INVALID`` where the order makes no sense.
    """
    if row is not None and row.move_id == request.move_id:
        return row
    if row is not None and row.state is MoveState.RUNNING:
        raise MoveError(
            f"pool {row.pool}: move {row.move_id} from {row.from_version} to "
            f"{row.to_version} by {row.author} is under way"
        )
    if row is not None and row.serving_version != request.from_version:
        raise MoveError(
            f"pool {row.pool}: {row.serving_version} serves, not {request.from_version}"
        )
    _check_request(request, unix_ms)
    return Move(
        move_id=request.move_id,
        pool=request.pool,
        from_version=request.from_version,
        to_version=request.to_version,
        started_unix_ms=unix_ms,
        moved_by_unix_ms=request.moved_by_unix_ms,
        reason=request.reason,
        author=request.author,
        fencing=0 if row is None else row.fencing,
    )


def cancel_move(row, move_id, reason, author):
    """Return the row with the move cancelled: all traffic goes back.

    Parameters
    ==========
    row : Move or None
    move_id, reason, author : str

    Raises
    ======
    MoveError
        ``MOVE_UNKNOWN`` where the row is another move's; ``MOVE_CONFLICT`` where
        the move has ended otherwise.
    """
    _check_same(row, move_id)
    if row.state is MoveState.CANCELLED:
        return row
    if row.state is not MoveState.RUNNING:
        raise MoveError(f"move {move_id} has ended: {row.state.value}")
    return _end(row, MoveState.CANCELLED, reason, author)


def widen_move(row, move_id, lanes, fencing):
    """Return the row with wider shares.

    Parameters
    ==========
    row : Move
        As read under the lease.
    move_id : str
    lanes : tuple of LaneShare
    fencing : int
        Of the lease that the writer holds.

    Raises
    ======
    LeaseLost
        When a later lease has written: a holder that was paused past its lease
        would otherwise widen what its successor holds back.
    MoveError
        When the move is unknown or has ended.
    """
    _check_same(row, move_id)
    if fencing < row.fencing:
        raise LeaseLost(
            f"move {move_id}: fencing {fencing} is older than {row.fencing}"
        )
    if row.state is not MoveState.RUNNING:
        raise MoveError(f"move {move_id} has ended: {row.state.value}")
    share = max((lane.share_permille for lane in lanes), default=0)
    return msgspec.structs.replace(
        row, lanes=lanes, share_permille=share, fencing=fencing
    )


def finish_move(row, move_id, reason, author, fencing, unix_ms):
    """Return the row with the move finished; raises as ``widen_move`` does.

    ``unix_ms`` is noted as its end: a home that takes over later knows by it whether
    the version is still watched.
    """
    row = widen_move(row, move_id, row.lanes, fencing)
    row = _end(row, MoveState.FINISHED, reason, author)
    return msgspec.structs.replace(row, ended_unix_ms=unix_ms)


def roll_back_move(row, move_id, reason, author):
    """Return the row with the move taken back.

    No fencing number is asked for: taking back is safe from any host at any time,
    also of a move that has finished.

    Raises
    ======
    MoveError
        ``MOVE_UNKNOWN`` where the row is another move's.
    """
    _check_same(row, move_id)
    if row.state in (MoveState.ROLLED_BACK, MoveState.CANCELLED):
        return row
    return _end(row, MoveState.ROLLED_BACK, reason, author)


def is_newer(row, former):
    """Return whether a row of the same move is a later state of it.

    Shares only grow within a move and an end is final, so that rows may be compared
    in whatever order they are heard.
    """
    if former.state is not MoveState.RUNNING:
        taken_back = row.state is MoveState.ROLLED_BACK
        return taken_back and former.state is MoveState.FINISHED
    if row.state is not MoveState.RUNNING:
        return True
    return (row.fencing, _total(row)) > (former.fencing, _total(former))


def _total(row):
    return sum(lane.share_permille for lane in row.lanes)


def _end(row, state, reason, author):
    share = FULL_PERMILLE if state is MoveState.FINISHED else 0
    return msgspec.structs.replace(
        row, state=state, share_permille=share, reason=reason, author=author
    )


def _check_same(row, move_id):
    if row is None or row.move_id != move_id:
        raise MoveError(f"no move {move_id}", code=ResultCode.MOVE_UNKNOWN)


def _check_request(request, unix_ms):
    if request.from_version == request.to_version:
        raise MoveError(
            "a move needs two versions", code=ResultCode.DECLARATION_INVALID
        )
    if request.moved_by_unix_ms <= unix_ms:
        raise MoveError(
            "the time to be moved by has passed", code=ResultCode.DECLARATION_INVALID
        )
    if not request.reason.strip():
        raise MoveError(
            "a move needs a written reason", code=ResultCode.DECLARATION_INVALID
        )
