"""Applies operators' changes of the declarations by compare-and-set."""

import asyncio
import re

import structlog

from hemlockhoist.base import (
    DeclarationError,
    ResultCode,
    StoreAnswerLost,
    StoreConflict,
)
from hemlockhoist.declarations import check_declarations
from hemlockhoist.host.declarations_row import DeclarationsRow
from hemlockhoist.host.operator_messages import ChangeResult

_CHANGE_ID = re.compile(r"[A-Za-z0-9_-]{8,64}\Z")
_AUTHOR = re.compile(r"[^\x00-\x1f\x7f]{1,100}\Z")

_log = structlog.get_logger("hemlockhoist.declarations")


class OperatorDeclarations:
    """Reads and changes the declarations' rows for the operators' API.

    Parameters
    ==========
    tables : hemlockhoist.store.TableClient
    clock : hemlockhoist.base.Clock
    """

    __slots__ = ("_clock", "_row")

    def __init__(self, tables, clock):
        self._row = DeclarationsRow(tables)
        self._clock = clock

    @classmethod
    def from_config(cls, tables, clock):
        """Return an instance for one host."""
        return cls(tables, clock)

    async def current(self):
        """Return the stored declarations; empty with version 0 if there is no row.

        Returns
        =======
        StoredDeclarations

        Raises
        ======
        PlatformError
        """
        stored, _ = await self._row.read()
        return stored

    async def history(self):
        """Return the accepted changes, newest first.

        Returns
        =======
        tuple of HistoryEntry

        Raises
        ======
        PlatformError
        """
        stored, _ = await self._row.read()
        return stored.history

    async def apply(self, change):
        """Apply a change to the version that its author read.

        Parameters
        ==========
        change : DeclarationChange

        Returns
        =======
        ChangeResult

        Raises
        ======
        DeclarationFaults
            When the declarations have faults.
        DeclarationError
            ``DECLARATION_CONFLICT`` with the other author's name, or
            ``DECLARATION_INVALID`` for a malformed change id or author.
        StoreAnswerLost
            When it is unknown whether the change was accepted; the same change may be
            sent again.
        PlatformError
            When the store did not accept the change.
        """
        _check_change(change)
        # In a thread: with 1,700 customers the check takes tens of milliseconds, during
        # which the event loop could not serve any stream of this host.
        await asyncio.to_thread(check_declarations, change.declarations)
        stored, row_version = await self._row.read()
        entry = stored.entry_for_change(change.change_id)
        if entry is not None:
            return _result(entry, repeated=True)
        if stored.declarations.version != change.read_version:
            raise _conflict(stored, change)
        updated = stored.with_change(
            change.declarations, change.change_id, change.author, self._clock.unix_ms()
        )
        try:
            await self._row.write(updated, row_version, change.change_id)
        except (StoreConflict, StoreAnswerLost) as error:
            return await self._resolve_write(change, error)
        version = updated.declarations.version
        _log.info("declarations_accepted", version=version, author=change.author)
        return ChangeResult(version=version, change_id=change.change_id)

    async def _resolve_write(self, change, error):
        """Determine whether a write with a lost answer or a conflict took effect.

        The store may lose an answer after the write took effect. If a conflict or a
        failure were reported then, the author would apply the change a second time or
        abandon it while it is in force. The row's history lists every change by its id,
        even when others have been accepted after it.
        """
        stored, _ = await self._row.read()
        entry = stored.entry_for_change(change.change_id)
        if entry is not None:
            return _result(entry, repeated=True)
        if stored.declarations.version != change.read_version:
            raise _conflict(stored, change) from error
        # The row is unchanged, but the write may still arrive: reporting the change as
        # not accepted could turn out to be false.
        raise error


def _result(entry, repeated):
    return ChangeResult(
        version=entry.version, change_id=entry.change_id, repeated=repeated
    )


def _conflict(stored, change):
    """Return an error that names the author who changed the version that was read."""
    current = stored.declarations.version
    if change.read_version > current:
        message = (
            f"version {change.read_version} was never accepted; "
            f"{current} is the current version"
        )
        return DeclarationError(message, code=ResultCode.DECLARATION_CONFLICT)
    entry = stored.entry_for_version(change.read_version + 1)
    changed_by = f"by {entry.author}" if entry else "earlier"
    change_list = (
        "; ".join(entry.changes) if entry else "its history entry is no longer kept"
    )
    message = (
        f"version {change.read_version} was changed {changed_by} ({change_list}); "
        f"the current version is {current}"
    )
    return DeclarationError(message, code=ResultCode.DECLARATION_CONFLICT)


def _check_change(change):
    if not _CHANGE_ID.match(change.change_id):
        raise DeclarationError(
            "change_id: is malformed; allowed: 8 to 64 letters, digits, '-' or '_'"
        )
    if not _AUTHOR.match(change.author) or not change.author.strip():
        raise DeclarationError("author: is empty, too long or has control characters")
