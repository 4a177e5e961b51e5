"""Registration of this host in the store, and discovery of the other hosts."""

import asyncio

import msgspec

from hemlockhoist.base import (
    MS_PER_S,
    PeriodicTask,
    PlatformError,
    StoreConflict,
    get_logger,
)
from hemlockhoist.decisions.entry import StaleEntries
from hemlockhoist.decisions.membership import ListedHost
from hemlockhoist.store import RowChange, decode_row

_log = get_logger("entry.roster")

# Retry interval of registering and reading while the store fails.
RETRY_INTERVAL_MS = 2_000
# A starting host reads the list and introduces itself to all others; from then on hosts
# learn of each other by probes. The list is read again for what probes cannot show:
# hosts that a network partition has separated since they started. A feed of the list
# would wake every host for each change, thousands of calls at a fleet's start.
READ_INTERVAL_MS = 60_000
# A host that is alone in the list reads again soon. Of two hosts that start together,
# the later reader finds the other one, as each registers itself before it reads.
ALONE_READ_INTERVAL_MS = 2_000
# How long the list waits for this host's registration. A commit takes some milliseconds,
# and one to a store that is silent several seconds, in which a host would serve alone.
# Shorter than a starting host waits for the list before it serves.
REGISTRATION_WAIT_MS = 200
# Rows removed in one transaction; the store accepts at least this many.
MAX_REMOVED_ROWS = 50


class HostRow(msgspec.Struct, frozen=True, kw_only=True):
    """The row by which a host registers itself; its key is its peer address.

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
    """Registers this host, and passes all registered hosts and seeds to the fleet.

    A row may outlive its host; the fleet's probes detect that.

    Parameters
    ==========
    context : EntryContext
    """

    __slots__ = (
        "_context",
        "_is_introduced",
        "_is_registered",
        "_listed_hosts",
        "_read_due_ms",
        "_registration",
        "_stale_entries",
        "_task",
        "_versions",
    )

    def __init__(self, context):
        self._context = context
        self._listed_hosts = {}
        self._versions = {}
        self._stale_entries = StaleEntries()
        self._is_registered = False
        self._is_introduced = False
        self._read_due_ms = 0
        # The commit in progress that registers this host, or the last one.
        self._registration = None
        self._task = PeriodicTask(RETRY_INTERVAL_MS, self._run_once)

    async def start(self):
        """Start registering this host and discovering the others."""
        self._update_fleet()
        await self._task.start()

    async def close(self):
        """Stop; the row of this host stays."""
        await self._task.close()
        await self._abandon_registration()

    def read_again(self):
        """Register and read the list at once, after the store was unreachable.

        A host that has registered itself and read the list waits for its regular read:
        hosts that start meanwhile introduce themselves.
        """
        if not (self._is_registered and self._is_introduced):
            self._read_due_ms = 0
            # Sent to a store that was silent, the commit may never be answered.
            self._cancel_registration()
            self._task.wake()

    async def _run_once(self):
        """Register this host if needed, then read the list of hosts if due.

        Registering comes first, so that any later reader finds this host.
        """
        await self._register_in_time()
        now_ms = self._context.clock.now_ms()
        if now_ms < self._read_due_ms:
            return
        was_registered, was_alone = self._is_registered, self._is_alone
        try:
            reading = await self._context.platform.store.read_table(self._table)
        except PlatformError as error:
            _log.warning("host_rows_not_read", reason=error.message)
            return
        self._apply_rows(reading.rows)
        if was_registered and self._context.identity.host_id not in self._versions:
            # A host that could not reach this one removed its row as stale.
            self._is_registered = False
        interval_ms = ALONE_READ_INTERVAL_MS if self._is_alone else READ_INTERVAL_MS
        self._read_due_ms = now_ms + interval_ms
        if was_alone:
            self._is_introduced = True
            self._context.fleet.introduce()
        if not was_registered:
            self._follow_registration()
        await self._remove_stale_rows()

    async def _register_in_time(self):
        """Register this host if needed, and wait for it for a limited time."""
        if self._is_registered or self._context.leaving:
            return
        if self._registration is None or self._registration.done():
            self._registration = asyncio.create_task(self._register())
        registration = self._registration
        await asyncio.wait((registration,), timeout=REGISTRATION_WAIT_MS / MS_PER_S)
        if registration.done() and not registration.cancelled():
            registration.result()

    def _follow_registration(self):
        """Read again after a registration, or send one again that is not answered.

        The list was read while this host was not in it: of two such hosts, neither may
        have found the other.
        """
        if self._is_registered:
            self._read_due_ms = 0
        else:
            # The store has answered a later call.
            self._cancel_registration()
        self._task.wake()

    def _cancel_registration(self):
        """Cancel the commit in progress, and return its task or None."""
        registration, self._registration = self._registration, None
        if registration is not None:
            registration.cancel()
        return registration

    async def _abandon_registration(self):
        registration = self._cancel_registration()
        if registration is not None:
            await asyncio.wait((registration,))

    async def leave(self):
        """Remove this host's row."""
        await self._abandon_registration()
        try:
            await self._context.platform.store.commit((self._change(None),))
        except PlatformError as error:
            _log.warning("host_row_not_dropped", reason=error.message)

    async def _register(self):
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
        self._is_registered = True
        if self._is_introduced:
            self._read_due_ms = 0
            self._task.wake()

    def _change(self, value):
        key = self._context.identity.host_id
        return RowChange(table=self._table, key=key, value=value)

    @property
    def _is_alone(self):
        """Whether no other host was in the list when it was last read."""
        return not self._listed_hosts.keys() - {self._context.identity.host_id}

    @property
    def _table(self):
        return self._context.platform.host_table

    async def _remove_stale_rows(self):
        """Remove the rows of hosts that were lost long ago.

        Only the host with the lowest address does it, so that a fleet of a thousand
        does not send a thousand transactions. Two hosts that both do it cause no harm.
        """
        live = self._context.fleet.live_hosts()
        stale = self._stale_entries.find(
            self._versions, live, self._context.clock.now_ms()
        )
        if not stale or self._context.identity.host_id != min(live):
            return
        changes = tuple(
            RowChange(
                table=self._table, key=key, value=None, if_version=self._versions[key]
            )
            for key in stale[:MAX_REMOVED_ROWS]
        )
        try:
            await self._context.platform.store.commit(changes)
        except StoreConflict as error:
            # One of the hosts has restarted and registered itself again.
            _log.info("host_rows_changed", reason=error.message)
            return
        except PlatformError as error:
            _log.warning("host_rows_not_dropped", reason=error.message)
            return
        _log.info("host_rows_dropped", hosts=",".join(stale[:MAX_REMOVED_ROWS]))
        self._read_due_ms = 0

    def _apply_rows(self, rows):
        self._listed_hosts, self._versions = {}, {}
        for row in rows:
            if row.value is not None:
                self._apply_row(row)
        self._update_fleet()

    def _apply_row(self, row):
        host = decode_row(row, HostRow, _log, "host_row_unreadable")
        if host is None:
            return
        self._versions[row.key] = row.version
        if host.incarnation == self._context.identity.incarnation:
            # Also where the answer to the commit was lost.
            self._is_registered = True
        self._listed_hosts[row.key] = ListedHost(
            address=row.key,
            caller_address=host.caller_address,
            failure_domain=host.failure_domain,
            processor_millicores=host.processor_millicores,
        )

    def _update_fleet(self):
        """Pass all registered hosts, and the seeds without a row, to the fleet."""
        own = self._context.identity.host_id
        seeds = (
            ListedHost(address=address)
            for address in self._context.settings.seed_peer_addresses
            if address != own and address not in self._listed_hosts
        )
        self._context.fleet.on_list((*self._listed_hosts.values(), *seeds))
