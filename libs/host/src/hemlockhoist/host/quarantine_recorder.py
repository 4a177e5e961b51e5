"""The evidence against parts of prompts, kept in the store in case all hosts are lost."""

import asyncio

import msgspec

from hemlockhoist.base import (
    MS_PER_S,
    PeriodicTask,
    PlatformError,
    StoreConflict,
    get_logger,
)
from hemlockhoist.messages import PartRecord, PartState
from hemlockhoist.store import decode_row

_log = get_logger("host.quarantine")

WRITE_RETRY_MS = 250
IDLE_INTERVAL_MS = 5_000
# Callers wait for the first reading, so that no part is sent that the store has as
# blocked. A store that answers does so within some tens of milliseconds.
FIRST_READ_LIMIT_MS = 500
# The list of hosts tells whether this one can become a home.
INTRODUCED_LIMIT_MS = 300
# A host that grants alone hears nothing from the others; the store may still have it.
ALONE_READ_INTERVAL_MS = 1_000
# For parts that an operator lifts in the store.
READ_INTERVAL_MS = 60_000


class QuarantineRecorder:
    """Writes suspected and blocked parts to the store, and reads them.

    Failure prevented: all hosts are lost, or one is cut off from the others. Without
    the record, they let a part that crashes upstreams through once more.

    Parameters
    ==========
    quarantine : QuarantineService
    tables : TableClient or TypedRows
    table : str
    clock : Clock
    homes : HomeService
    fleet : Fleet
    """

    __slots__ = (
        "_clock",
        "_due",
        "_failed",
        "_fleet",
        "_homes",
        "_quarantine",
        "_read_ms",
        "_table",
        "_tables",
        "_task",
        "_versions",
    )

    def __init__(self, quarantine, tables, table, clock, homes, fleet):
        self._fleet = fleet
        self._quarantine = quarantine
        self._tables = tables
        self._table = table
        self._clock = clock
        self._homes = homes
        self._task = PeriodicTask(self._interval_ms, self._run_once)
        # Versions of the stored rows by part, and the records to write.
        self._versions = {}
        self._due = {}
        self._read_ms = None
        self._failed = False

    async def start(self):
        """Read the record, for a limited time, and start recording.

        Only high-capacity hosts read it. The other hosts of a fleet cannot become home,
        and each of their calls to the store would be a cost without a use.
        """
        self._quarantine.on_decided = self.record
        self._quarantine.on_deciding = self._task.wake
        await self._fleet.wait_introduced(INTRODUCED_LIMIT_MS)
        try:
            async with asyncio.timeout(FIRST_READ_LIMIT_MS / MS_PER_S):
                if self._fleet.is_high_capacity:
                    await self._read()
        except (TimeoutError, PlatformError) as error:
            self._log_failure(error)
        await self._task.start()

    async def close(self):
        """Stop recording."""
        await self._task.close()

    def record(self, records):
        """Write what this host decided; parts that were never suspected are not kept."""
        for record in records:
            if record.state != PartState.CLEAR or record.part in self._versions:
                self._due[record.part] = record
        if self._due:
            self._task.wake()

    def _interval_ms(self):
        if self._due or (self._read_ms is None and self._may_decide):
            return WRITE_RETRY_MS
        return ALONE_READ_INTERVAL_MS if self._homes.is_alone else IDLE_INTERVAL_MS

    async def _run_once(self):
        self._quarantine.tick()
        try:
            if self._is_read_due():
                await self._read()
            await self._write()
            self._failed = False
        except PlatformError as error:
            self._log_failure(error)

    def _log_failure(self, error):
        if not self._failed:
            reason = getattr(error, "message", "") or repr(error)
            _log.warning("parts_not_recorded", reason=reason, due=len(self._due))
        self._failed = True

    @property
    def _may_decide(self):
        """Whether this host schedules a pool, or can become the home of one."""
        return self._homes.is_scheduling or self._fleet.is_high_capacity

    def _is_read_due(self):
        if self._read_ms is None:
            return self._may_decide
        if not self._homes.is_scheduling:
            return False
        is_alone = self._homes.is_alone
        interval_ms = ALONE_READ_INTERVAL_MS if is_alone else READ_INTERVAL_MS
        return self._clock.now_ms() - self._read_ms >= interval_ms

    async def _read(self):
        rows = await self._tables.list(self._table, msgspec.Raw)
        self._read_ms = self._clock.now_ms()
        records = []
        for row in rows:
            record = decode_row(row, PartRecord, _log, "part_unreadable")
            if record is None:
                continue
            self._versions[record.part] = row.version
            records.append(record)
        self._quarantine.merge(records)

    async def _write(self):
        while self._due:
            part, record = next(iter(self._due.items()))
            version = self._versions.get(part, 0)
            key = f"{part:016x}"
            try:
                row = await self._tables.put(self._table, key, record, version)
            except StoreConflict:
                await self._read()
                self._due[part] = self._quarantine.record_of(part)
                continue
            self._versions[part] = row.version
            if self._due.get(part) is record:
                del self._due[part]
