"""The declarations and their history, as stored in a row of the table service."""

import msgspec

from hemlockhoist.declarations.difference import diff
from hemlockhoist.declarations.effective import canonical
from hemlockhoist.declarations.model import Declarations

TABLE = "declarations"
KEY = "current"
# Row that holds the version alone, written in one transaction with the other row.
VERSION_KEY = "version"
# Enough entries to resolve a lost answer long afterwards, and few enough for a row that
# is read often; older changes are found in version control.
MAX_HISTORY = 200
MAX_CHANGE_LINES = 8
MAX_LINE_CHARS = 240


class HistoryEntry(msgspec.Struct, frozen=True, kw_only=True):
    """One accepted change.

    Parameters
    ==========
    version : int
        Version that the change made.
    change_id, author : str
    unix_ms : int
        When a host accepted the change.
    changes : tuple of str
        One line for each difference, with the reasons of exceptions; at most
        ``MAX_CHANGE_LINES``.
    """

    version: int
    change_id: str
    author: str
    unix_ms: int
    changes: tuple[str, ...] = ()


class StoredDeclarations(msgspec.Struct, frozen=True, kw_only=True):
    """Declarations and the history of their changes, stored in one row.

    Parameters
    ==========
    declarations : Declarations
    history : tuple of HistoryEntry
        Newest first.
    """

    declarations: Declarations = Declarations()
    history: tuple[HistoryEntry, ...] = ()

    def entry_for_change(self, change_id):
        """Return the history entry of a change, or None."""
        return next((e for e in self.history if e.change_id == change_id), None)

    def entry_for_version(self, version):
        """Return the history entry of the change that made a version, or None."""
        return next((e for e in self.history if e.version == version), None)

    def with_change(self, declarations, change_id, author, unix_ms):
        """Return the declarations and history that result from a change.

        Parameters
        ==========
        declarations : Declarations
            Their version is replaced by the next one.
        change_id, author : str
        unix_ms : int
        """
        version = self.declarations.version + 1
        updated = msgspec.structs.replace(canonical(declarations), version=version)
        entry = HistoryEntry(
            version=version,
            change_id=change_id,
            author=author,
            unix_ms=unix_ms,
            changes=_change_lines(self.declarations, updated),
        )
        history = (entry, *self.history)[:MAX_HISTORY]
        return StoredDeclarations(declarations=updated, history=history)


def _change_lines(old, new):
    lines = tuple(str(change)[:MAX_LINE_CHARS] for change in diff(old, new))
    if len(lines) <= MAX_CHANGE_LINES:
        return lines
    omitted_count = len(lines) - MAX_CHANGE_LINES + 1
    return (*lines[: MAX_CHANGE_LINES - 1], f"and {omitted_count} more")
