"""What the operators' surface under ``/-/`` takes and gives, as JSON."""

import msgspec

from hemlockhoist.declarations import Declarations, HistoryEntry

STATUS_PATH = "/-/status"
DRAIN_PATH = "/-/drain"
DECLARATIONS_PATH = "/-/declarations"
HISTORY_PATH = "/-/declarations/history"
MOVES_PATH = "/-/moves"


class DeclarationChange(msgspec.Struct, frozen=True, kw_only=True):
    """Body of ``PUT /-/declarations``.

    Parameters
    ==========
    declarations : Declarations
        The whole; their own version is not looked at.
    read_version : int
        The version that the author read; 0 for "none yet".
    change_id : str
        Minted by the author's client; the same when the change is sent again.
    author : str
    """

    declarations: Declarations
    read_version: int
    change_id: str
    author: str


class ChangeResult(msgspec.Struct, frozen=True, kw_only=True):
    """Answer to ``PUT /-/declarations``.

    Parameters
    ==========
    version : int
        That the change made.
    change_id : str
    repeated : bool
        Whether the change had been accepted before, and its answer was lost.
    """

    version: int
    change_id: str
    repeated: bool = False


class HostVersion(msgspec.Struct, frozen=True, kw_only=True):
    """The declarations' version in force on one host.

    Parameters
    ==========
    host_id : str
    version : int
        -1 where the host does not answer.
    """

    host_id: str
    version: int


class DeclarationsView(msgspec.Struct, frozen=True, kw_only=True):
    """Answer to ``GET /-/declarations``.

    Parameters
    ==========
    version : int
        Accepted, read from the table service, or the highest in force where that
        can not be read.
    hosts : tuple of HostVersion
        Every live host of the fleet.
    declarations : Declarations
    """

    version: int
    hosts: tuple[HostVersion, ...]
    declarations: Declarations

    def lagging(self, version):
        """Return the ids of the hosts where ``version`` is not yet in force."""
        return tuple(item.host_id for item in self.hosts if item.version < version)


class HistoryView(msgspec.Struct, frozen=True, kw_only=True):
    """Answer to ``GET /-/declarations/history``, newest first."""

    entries: tuple[HistoryEntry, ...]


class MoveView(msgspec.Struct, frozen=True, kw_only=True):
    """One move in the answer to ``GET /-/moves``.

    Parameters
    ==========
    state : str
        ``running``, ``finished``, ``taken_back`` or ``cancelled``.
    share_permille : int
        Greatest share of the new version over all routes.
    reason, author : str
        Of the latest change of state.
    """

    move_id: str
    pool: str
    from_version: str
    to_version: str
    state: str
    started_unix_ms: int = 0
    moved_by_unix_ms: int = 0
    share_permille: int = 0
    reason: str = ""
    author: str = ""


class MovesView(msgspec.Struct, frozen=True, kw_only=True):
    """Answer to ``GET /-/moves``: the latest move of each pool."""

    moves: tuple[MoveView, ...]
