"""Customers' quota usage, recorded in the store in case all hosts are lost."""

import asyncio

import msgspec

from hemlockhoist.base import (
    MS_PER_S,
    PeriodicTask,
    PlatformError,
    get_logger,
)
from hemlockhoist.store import RowChange, decode_row

_log = get_logger("entry.spending")

# A customer that sends several times its usual load uses up a twenty-fourth of its
# bound in this time.
CHECK_INTERVAL_MS = 125
# Usage since the last record that makes a new one due, as a fraction of the customer's
# bound. Together with the usage between two checks, it is less than the part of the
# bound that is withheld from granting.
RECORD_STEP_FRACTION = 0.06
# Hosts report their usage within a round trip or two of a takeover. If some usage is
# still unknown after this time, the record is read.
REPORT_WAIT_MS = 30
# Age up to which a home that takes over uses the record read at its start. What was
# written since can only be of another home that is active beside it.
START_READING_MAX_AGE_MS = 1_000
# The list of hosts is read within some tens of milliseconds if the store answers.
INTRODUCED_WAIT_MS = 500
# A host that schedules no pool has nothing to write or to read.
IDLE_INTERVAL_MS = 500


class UsageRow(msgspec.Struct, frozen=True):
    """The row of one home; its key is the home's peer address.

    Parameters
    ==========
    store_ms : int
        When the row was written, on the store's clock.
    spent : tuple
        Usage by then, as ``(customer, ((age_ms, units), …))``.
    """

    store_ms: int
    spent: tuple[tuple[str, tuple[tuple[int, int], ...]], ...]


class UsageRecorder:
    """Records the usage of customers near their bounds, and reads it after a loss.

    Failure prevented: all hosts are killed or lose power while a customer is at its
    bound. The restarted hosts cannot query any host for the usage, and grant the quota
    of a whole window again. Nothing is written while all customers send their usual
    load.

    Parameters
    ==========
    context : EntryContext
    """

    __slots__ = (
        "_context",
        "_failed",
        "_read_takeover",
        "_recorded",
        "_start_reading",
        "_start_reading_ms",
        "_task",
        "_written",
    )

    def __init__(self, context):
        self._context = context
        self._task = PeriodicTask(self._interval_ms, self._run_once)
        self._read_takeover = None
        self._written = ()
        # By customer, as fractions of their bounds: the usage in the last record.
        self._recorded = {}
        self._failed = False
        self._start_reading = None
        self._start_reading_ms = None

    async def start(self):
        """Start recording; the record is read once at the start."""
        self._context.gate.on_takeover_begun = self._on_takeover
        await self._task.start()

    def _on_takeover(self):
        """Count the usage read at the start; schedule a new read if that is old.

        Failure prevented: a home that takes over after a loss of all hosts reads the
        record only after it has served the first callers, and has granted them what
        customers at their bounds had already used.
        """
        if self._start_reading is not None:
            elapsed_ms = self._context.clock.now_ms() - self._start_reading_ms
            if elapsed_ms < START_READING_MAX_AGE_MS:
                self._read_takeover = self._context.gate.takeover
                self._count(self._start_reading, elapsed_ms)
                return
        loop = asyncio.get_running_loop()
        loop.call_later(REPORT_WAIT_MS / MS_PER_S, self._task.wake)

    async def close(self):
        """Stop recording."""
        await self._task.close()

    def _interval_ms(self):
        return CHECK_INTERVAL_MS if self._context.homes.active() else IDLE_INTERVAL_MS

    async def _run_once(self):
        try:
            await self._read_at_start()
            if not self._context.homes.active():
                return
            await self._read_after_takeover()
            await self._write()
            self._failed = False
        except PlatformError as error:
            if not self._failed:
                _log.warning("usage_not_recorded", reason=error.message)
            self._failed = True

    async def _read_at_start(self):
        """Read the record once, in case this host becomes home at once.

        Only high-capacity hosts read it. The other hosts of a fleet cannot become home,
        and each of their calls to the store would be a cost without a use.
        """
        if self._start_reading_ms is not None:
            return
        await self._context.fleet.wait_introduced(INTRODUCED_WAIT_MS)
        self._start_reading_ms = self._context.clock.now_ms()
        if self._context.fleet.is_high_capacity:
            self._start_reading = await self._read()

    async def _read_after_takeover(self):
        """Read the record once after each takeover that left usage unknown."""
        gate = self._context.gate
        takeover = gate.takeover
        if takeover is self._read_takeover or not gate.has_unknown_usage:
            return
        reading = await self._read()
        self._read_takeover = takeover
        self._count(reading, 0)

    async def _read(self):
        platform = self._context.platform
        return await platform.store.read_table(platform.usage_table)

    def _count(self, reading, read_ago_ms):
        gate = self._context.gate
        now_ms = self._context.clock.now_ms()
        for row in reading.rows:
            record = _decode(row)
            if record is None:
                continue
            elapsed_ms = max(0, reading.store_ms - record.store_ms) + read_ago_ms
            gate.quotas.add_recorded(row.key, record.spent, now_ms - elapsed_ms, now_ms)
            _log.info(
                "usage_read",
                home=row.key,
                age_ms=elapsed_ms,
                customers=len(record.spent),
            )

    async def _write(self):
        now_ms = self._context.clock.now_ms()
        quotas = self._context.gate.quotas
        usage_by_customer = quotas.usage_to_record(now_ms)
        counted = {name: quotas.counted(name) for name, _ in usage_by_customer}
        if not self._is_write_due(counted):
            return
        platform = self._context.platform
        record = UsageRow(self._context.store_view.store_now_ms(), usage_by_customer)
        value = msgspec.json.encode(record) if usage_by_customer else None
        change = RowChange(
            table=platform.usage_table,
            key=self._context.identity.host_id,
            value=value,
        )
        await platform.store.commit((change,))
        self._written = usage_by_customer
        self._recorded = counted

    def _is_write_due(self, counted):
        """Return whether the record lags too far behind, or has to be cleared.

        Load prevented: ordinary customers are near their bounds in each burst, and each
        write is a call to the store. The usage of a customer does not grow once it is
        at its bound, so the check considers what was granted since the last write.
        """
        if not counted:
            return bool(self._written)
        return any(
            fraction - self._recorded.get(name, 0.0) > RECORD_STEP_FRACTION
            for name, fraction in counted.items()
        )


def _decode(row):
    if row.value is None:
        return None
    return decode_row(row, UsageRow, _log, "usage_unreadable")
