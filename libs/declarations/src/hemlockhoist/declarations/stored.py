"""What the table service holds: the declarations and their history."""

import msgspec

from hemlockhoist.declarations.difference import diff
from hemlockhoist.declarations.effective import canonical
from hemlockhoist.declarations.model import Declarations

TABLE = "declarations"
KEY = "current"
# Holds the version alone, and is written together with the other row.
VERSION_KEY = "version"
# Enough to settle a lost answer long after, few enough for a row that is read often;
# what is older stands in version control.
MAX_HISTORY = 200
MAX_CHANGE_LINES = 8
MAX_LINE_CHARS = 240


class HistoryEntry(msgspec.Struct, frozen=True, kw_only=True):
    """One accepted change.

    Parameters
    ==========
    version : int
        That the change made.
    change_id, author : str
    unix_ms : int
        When a host accepted it.
    changes : tuple of str
        One line for each difference, the reasons of exceptions among them; cut to
        ``MAX_CHANGE_LINES``.
    """

    version: int
    change_id: str
    author: str
    unix_ms: int
    changes: tuple[str, ...] = ()


class StoredDeclarations(msgspec.Struct, frozen=True, kw_only=True):
    """What the row holds.

    Parameters
    ==========
    declarations : Declarations
    history : tuple of HistoryEntry
        Newest first.
    """

    declarations: Declarations = Declarations()
    history: tuple[HistoryEntry, ...] = ()

    def entry_for_change(self, change_id):
        """Return the history's entry of a change, or None."""
        return next((e for e in self.history if e.change_id == change_id), None)

    def entry_for_version(self, version):
        """Return the entry of the change that made a version, or None."""
        return next((e for e in self.history if e.version == version), None)

    def with_change(self, declarations, change_id, author, unix_ms):
        """Return the row's next content.

        Parameters
        ==========
        declarations : Declarations
            Their version is set here.
        change_id, author : str
        unix_ms : int
        """
        version = self.declarations.version + 1
        following = msgspec.structs.replace(canonical(declarations), version=version)
        entry = HistoryEntry(
            version=version,
            change_id=change_id,
            author=author,
            unix_ms=unix_ms,
            changes=_lines(self.declarations, following),
        )
        history = (entry, *self.history)[:MAX_HISTORY]
        return StoredDeclarations(declarations=following, history=history)


def _lines(old, new):
    lines = tuple(str(change)[:MAX_LINE_CHARS] for change in diff(old, new))
    if len(lines) <= MAX_CHANGE_LINES:
        return lines
    more = len(lines) - MAX_CHANGE_LINES + 1
    return (*lines[: MAX_CHANGE_LINES - 1], f"and {more} more")
