"""Where hosts enter themselves, and how each finds the others."""

import msgspec

from hemlockhoist.base import PeriodicTask, PlatformError, get_logger
from hemlockhoist.decisions.membership import ListedHost
from hemlockhoist.store import PATIENT, RowChange, TableWatch

_log = get_logger("entry.roster")

# Hosts find each other by their probes once they know one another; the table changes
# when hosts come and go, and a change wakes the call.
WATCH_WAIT_MS = 30_000
# The row is written once; while the store fails, it is tried again this often.
RETRY_MS = 2_000


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

    __slots__ = ("_context", "_listed", "_task", "_watch", "_written")

    def __init__(self, context):
        self._context = context
        self._listed = {
            address: ListedHost(address=address)
            for address in context.settings.seed_peer_addresses
            if address != context.identity.host_id
        }
        self._written = False
        table = context.platform.host_table
        store = context.platform.store
        self._watch = TableWatch(
            store, table, WATCH_WAIT_MS, self._take_rows, pace=PATIENT
        )
        self._task = PeriodicTask(RETRY_MS, self._enter)

    async def start(self):
        """Enter this host, and begin to follow the others."""
        self._context.fleet.on_list(tuple(self._listed.values()))
        await self._watch.start()
        await self._task.start()

    async def close(self):
        """Stop following."""
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
        table = self._context.platform.host_table
        key = self._context.identity.host_id
        return RowChange(table=table, key=key, value=value)

    def _take_rows(self, rows, is_whole):
        for row in rows:
            if row.value is None:
                self._listed.pop(row.key, None)
                continue
            try:
                host = msgspec.json.decode(row.value, type=HostRow)
            except msgspec.MsgspecError as error:
                _log.warning("host_row_unreadable", row=row.key, reason=str(error))
                continue
            self._listed[row.key] = ListedHost(
                address=row.key,
                caller_address=host.caller_address,
                failure_domain=host.failure_domain,
            )
        self._context.fleet.on_list(tuple(self._listed.values()))
