"""Where hosts enter themselves, and how each finds the others."""

import msgspec

from hemlockhoist.base import (
    PeriodicTask,
    PlatformError,
    StoreConflict,
    get_logger,
)
from hemlockhoist.decisions.entry import StaleEntries
from hemlockhoist.decisions.membership import ListedHost
from hemlockhoist.store import RowChange

_log = get_logger("entry.roster")

# While the store fails, what is due is tried again this often.
RETRY_MS = 2_000
# A host that starts reads the list and introduces itself to all others; from there on
# hosts know each other by their probes. The list is read again for what probes can not
# show: hosts that a cut has kept from each other since they started. A feed of the list
# would wake every host for each that comes or goes, thousands of calls at a fleet's start.
READ_AGAIN_MS = 60_000
# A host that finds itself alone looks again soon. Of two that start together, the one
# that reads later finds the other, as each enters itself before it reads.
ALONE_READ_AGAIN_MS = 2_000
# Dropped in one transaction; the store takes at least this many.
SWEPT_AT_ONCE = 50


class HostRow(msgspec.Struct, frozen=True, kw_only=True):
    """What a host enters of itself; its key is its address for peers.

    Parameters
    ==========
    caller_address, failure_domain, incarnation : str
    processor_millicores : int
    """

    caller_address: str
    failure_domain: str
    incarnation: str
    processor_millicores: int = 0


class HostRegistry:
    """Keeps this host's row, and tells the fleet of all rows and seeds.

    A row may outlive its host; the fleet's probes find that out.

    Parameters
    ==========
    context : EntryContext
    """

    __slots__ = (
        "_context",
        "_entries",
        "_is_introduced",
        "_read_due_ms",
        "_stale",
        "_task",
        "_versions",
        "_written",
    )

    def __init__(self, context):
        self._context = context
        self._entries = {}
        self._versions = {}
        self._stale = StaleEntries()
        self._written = False
        self._is_introduced = False
        self._read_due_ms = 0
        self._task = PeriodicTask(RETRY_MS, self._follow)

    async def start(self):
        """Enter this host, and begin to follow the others."""
        self._tell_fleet()
        await self._task.start()

    async def close(self):
        """Stop following."""
        await self._task.close()

    def read_again(self):
        """Read the list soon, after the store was out of reach.

        A host that has entered itself and read the list waits for its usual turn: a
        host that starts meanwhile introduces itself.
        """
        if not (self._written and self._is_introduced):
            self._read_due_ms = 0

    async def _follow(self):
        """Do what is due: enter this host first, so that whoever reads later sees it."""
        await self._enter()
        now_ms = self._context.clock.now_ms()
        if now_ms < self._read_due_ms:
            return
        try:
            reading = await self._context.platform.store.read_table(self._table)
        except PlatformError as error:
            _log.warning("host_rows_not_read", reason=error.message)
            return
        self._take_rows(reading.rows)
        is_alone = len(self._entries) < 2
        pause_ms = ALONE_READ_AGAIN_MS if is_alone else READ_AGAIN_MS
        self._read_due_ms = now_ms + pause_ms
        if not self._is_introduced:
            self._is_introduced = True
            self._context.fleet.introduce()
        await self._sweep()

    async def leave(self):
        """Take this host's row back."""
        try:
            await self._context.platform.store.commit((self._change(None),))
        except PlatformError as error:
            _log.warning("host_row_not_dropped", reason=error.message)

    async def _enter(self):
        if self._written or self._context.leaving:
            return
        identity = self._context.identity
        row = HostRow(
            caller_address=identity.address,
            failure_domain=identity.failure_domain,
            incarnation=identity.incarnation,
            processor_millicores=self._context.settings.processor_millicores,
        )
        try:
            await self._context.platform.store.commit(
                (self._change(msgspec.json.encode(row)),)
            )
        except PlatformError as error:
            _log.warning("host_row_not_written", reason=error.message)
            return
        self._written = True

    def _change(self, value):
        key = self._context.identity.host_id
        return RowChange(table=self._table, key=key, value=value)

    @property
    def _table(self):
        return self._context.platform.host_table

    async def _sweep(self):
        """Drop the entries of hosts that were lost long ago.

        One host does it, so that a fleet of a thousand does not send a thousand
        transactions; two that take themselves for it do no harm.
        """
        live = self._context.fleet.live_hosts()
        stale = self._stale.find(self._versions, live, self._context.clock.now_ms())
        if not stale or self._context.identity.host_id != min(live):
            return
        changes = tuple(
            RowChange(
                table=self._table, key=key, value=None, if_version=self._versions[key]
            )
            for key in stale[:SWEPT_AT_ONCE]
        )
        try:
            await self._context.platform.store.commit(changes)
        except StoreConflict as error:
            # One of the hosts has come back and entered itself anew.
            _log.info("host_rows_changed", reason=error.message)
            return
        except PlatformError as error:
            _log.warning("host_rows_not_dropped", reason=error.message)
            return
        _log.info("host_rows_dropped", hosts=",".join(stale[:SWEPT_AT_ONCE]))
        self._read_due_ms = 0

    def _take_rows(self, rows):
        self._entries, self._versions = {}, {}
        for row in rows:
            if row.value is not None:
                self._take_row(row)
        if self._context.identity.host_id not in self._versions:
            # Taken for lost, by a host that could not reach this one.
            self._written = False
        self._tell_fleet()

    def _take_row(self, row):
        try:
            host = msgspec.json.decode(row.value, type=HostRow)
        except msgspec.MsgspecError as error:
            _log.warning("host_row_unreadable", row=row.key, reason=str(error))
            return
        self._versions[row.key] = row.version
        self._entries[row.key] = ListedHost(
            address=row.key,
            caller_address=host.caller_address,
            failure_domain=host.failure_domain,
            processor_millicores=host.processor_millicores,
        )

    def _tell_fleet(self):
        """Tell the fleet of all entries, and of the seeds that have none."""
        own = self._context.identity.host_id
        seeds = (
            ListedHost(address=address)
            for address in self._context.settings.seed_peer_addresses
            if address != own and address not in self._entries
        )
        self._context.fleet.on_list((*self._entries.values(), *seeds))
