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
from hemlockhoist.store import PATIENT, RowChange, TableWatch

_log = get_logger("entry.roster")

# Hosts find each other by their probes once they know one another; the table changes
# when hosts come and go, and a change wakes the call.
WATCH_WAIT_MS = 30_000
# The row is written once; while the store fails, it is tried again this often.
RETRY_MS = 2_000
# Entries are kept for an hour; a look each minute costs nothing and is soon enough.
SWEEP_MS = 60_000
# Dropped in one transaction; the store takes at least this many.
SWEPT_AT_ONCE = 50


class HostRow(msgspec.Struct, frozen=True, kw_only=True):
    """What a host enters of itself; its key is its address for peers.

    Parameters
    ==========
    caller_address, failure_domain, incarnation : str
    """

    caller_address: str
    failure_domain: str
    incarnation: str


class Roster:
    """Keeps this host's row, and tells the fleet of all rows and seeds.

    A row may outlive its host; the fleet's probes find that out.

    Parameters
    ==========
    context : EntryContext
    """

    __slots__ = (
        "_context",
        "_entries",
        "_stale",
        "_sweep_task",
        "_task",
        "_versions",
        "_watch",
        "_written",
    )

    def __init__(self, context):
        self._context = context
        self._entries = {}
        self._versions = {}
        self._stale = StaleEntries()
        self._written = False
        table = context.platform.host_table
        store = context.platform.store
        self._watch = TableWatch(
            store, table, WATCH_WAIT_MS, self._take_rows, pace=PATIENT
        )
        self._task = PeriodicTask(RETRY_MS, self._enter)
        self._sweep_task = PeriodicTask(SWEEP_MS, self._sweep)

    async def start(self):
        """Enter this host, and begin to follow the others."""
        self._tell_fleet()
        await self._watch.start()
        await self._task.start()
        await self._sweep_task.start()

    async def close(self):
        """Stop following."""
        await self._sweep_task.close()
        await self._task.close()
        await self._watch.close()

    def read_again(self):
        """Ask anew, after the store was out of reach."""
        self._watch.read_again()

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

    def _take_rows(self, rows, is_whole):
        if is_whole:
            self._entries, self._versions = {}, {}
        for row in rows:
            self._take_row(row)
        self._tell_fleet()

    def _take_row(self, row):
        if row.value is None:
            self._entries.pop(row.key, None)
            self._versions.pop(row.key, None)
            if row.key == self._context.identity.host_id:
                # Taken for lost, by a host that could not reach this one.
                self._written = False
            return
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
