"""What customers have spent, kept in the store for the case that all hosts are lost."""

import asyncio

import msgspec

from hemlockhoist.base import MS_PER_S, PeriodicTask, PlatformError, get_logger
from hemlockhoist.store import RowChange

_log = get_logger("entry.spending")

# A customer that sends several times its usual spends a twenty-fourth of its bound in
# this time.
LOOK_MS = 125
# Of a customer's bound, what it has spent since it was put on record: written anew
# beyond it. With what is spent between two looks, less than what is held back from what
# is given out.
RECORD_STEP = 0.06
# After a takeover, hosts tell what they know within a round trip or two; where that is
# too little, the record is read then.
ASKED_MS = 30
# What was read at the start is used by a home that takes over this soon after it; what
# was written since, only a home beside it can have.
FRESH_MS = 1_000
# The list of hosts is read within some tens of milliseconds where the store answers.
LISTED_MS = 500
# While this host decides for nobody there is nothing to write or to read.
IDLE_MS = 500


class UsageRow(msgspec.Struct, frozen=True):
    """The row of one home; its key is the home's address for peers.

    Parameters
    ==========
    store_ms : int
        When it was written, on the store's clock.
    spent : tuple
        Of ``(customer, ((age_ms, units), …))`` by then.
    """

    store_ms: int
    spent: tuple[tuple[str, tuple[tuple[int, int], ...]], ...]


class UsageRecorder:
    """Writes down which customers are near their bounds, and reads it after a loss.

    Failure: all hosts are killed or lose their power while a customer is at its bound.
    The hosts that come back can ask nobody what was spent, and give the whole window's
    allowance once more. Nothing is written while all customers send the usual.

    Parameters
    ==========
    context : EntryContext
    """

    __slots__ = (
        "_at_start",
        "_at_start_ms",
        "_context",
        "_failed",
        "_counted",
        "_read_for",
        "_task",
        "_written",
    )

    def __init__(self, context):
        self._context = context
        self._task = PeriodicTask(self._pause_ms, self._keep)
        self._read_for = None
        self._written = ()
        # By customer, as parts of their bounds: what was counted by the last writing.
        self._counted = {}
        self._failed = False
        self._at_start = None
        self._at_start_ms = None

    async def start(self):
        """Begin to write and to read; the record is read once at the start."""
        self._context.gate.on_takeover_begun = self._on_takeover
        await self._task.start()

    def _on_takeover(self):
        """Count what was on record at the start; read the record where that is old.

        Failure: a home that takes over after a loss of all hosts looks at the record
        when the first callers have been served, and has given out to them what
        customers at their bounds had spent.
        """
        if self._at_start is not None:
            passed_ms = self._context.clock.now_ms() - self._at_start_ms
            if passed_ms < FRESH_MS:
                self._read_for = self._context.gate.takeover
                self._count(self._at_start, passed_ms)
                return
        loop = asyncio.get_running_loop()
        loop.call_later(ASKED_MS / MS_PER_S, self._task.wake)

    async def close(self):
        """Stop."""
        await self._task.close()

    def _pause_ms(self):
        return LOOK_MS if self._context.homes.active() else IDLE_MS

    async def _keep(self):
        try:
            await self._read_at_start()
            if not self._context.homes.active():
                return
            await self._read_once()
            await self._write()
            self._failed = False
        except PlatformError as error:
            if not self._failed:
                _log.warning("spending_not_kept", reason=error.message)
            self._failed = True

    async def _read_at_start(self):
        """Read the record once, for the case that this host becomes home at once.

        Load: a fleet of which few hosts are strong enough to be home; each call of the
        others would be paid for in vain.
        """
        if self._at_start_ms is not None:
            return
        await self._context.fleet.wait_introduced(LISTED_MS)
        self._at_start_ms = self._context.clock.now_ms()
        if self._context.fleet.is_high_capacity:
            self._at_start = await self._read()

    async def _read_once(self):
        """Read the record once after each takeover that knows too little."""
        gate = self._context.gate
        takeover = gate.takeover
        if takeover is self._read_for or not gate.has_unknown_usage:
            return
        reading = await self._read()
        self._read_for = takeover
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
            passed_ms = max(0, reading.store_ms - record.store_ms) + read_ago_ms
            gate.quotas.add_recorded(row.key, record.spent, now_ms - passed_ms, now_ms)
            _log.info(
                "spending_read",
                home=row.key,
                age_ms=passed_ms,
                customers=len(record.spent),
            )

    async def _write(self):
        now_ms = self._context.clock.now_ms()
        quotas = self._context.gate.quotas
        spent = quotas.usage_to_record(now_ms)
        counted = {name: quotas.counted(name) for name, _ in spent}
        if not self._is_due(counted):
            return
        platform = self._context.platform
        record = UsageRow(self._context.store_view.store_now_ms(), spent)
        value = msgspec.json.encode(record) if spent else None
        change = RowChange(
            table=platform.usage_table,
            key=self._context.identity.host_id,
            value=value,
        )
        await platform.store.commit((change,))
        self._written = spent
        self._counted = counted

    def _is_due(self, counted):
        """Return whether the record is too far behind, or of nobody any more.

        Load: usual customers are near their bounds in each burst, and each writing is a
        call of the store. What a customer has spent does not grow once it is at its
        bound, so what was given out since the last writing is looked at.
        """
        if not counted:
            return bool(self._written)
        return any(
            part - self._counted.get(name, 0.0) > RECORD_STEP
            for name, part in counted.items()
        )


def _decode(row):
    if row.value is None:
        return None
    try:
        return msgspec.json.decode(row.value, type=UsageRow)
    except msgspec.MsgspecError as error:
        _log.warning("spending_unreadable", row=row.key, reason=str(error))
        return None
