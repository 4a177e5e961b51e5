"""Watch of one table of the store that survives outages and lost history."""

import asyncio
import contextlib
import random

import msgspec

from hemlockhoist.base import MS_PER_S, PlatformError, get_logger
from hemlockhoist.store.retries import Backoff
from hemlockhoist.store.rows import HistoryGone

_log = get_logger("store.watch")


class RetryDelay(msgspec.Struct, frozen=True, kw_only=True):
    """Bounds of the random delay between attempts while the store fails."""

    min_ms: int
    max_ms: int


# For the table that proves freshness, so that one lost answer does not invalidate the
# proof. The upper bound keeps some hundred hosts from using up the store's request rate
# during an outage.
FAST_RETRY = RetryDelay(min_ms=60, max_ms=400)
# For tables whose watch is notified when the store has recovered, as each call during
# an outage is a cost.
SLOW_RETRY = RetryDelay(min_ms=300, max_ms=2_000)


class TableWatch:
    """Reads a table once in full and then its changes, until it is closed.

    Parameters
    ==========
    store : RowStore
    table : str
    wait_ms : int
        Longest time that a call waits for changes, and so the longest time between two
        proofs that nothing has changed.
    on_rows : callable
        ``on_rows(reading, is_snapshot)``; ``is_snapshot`` states that the reading holds
        all rows of the table.
    on_reading : callable, optional
        ``on_reading(reading)`` after each successful call.
    on_failure : callable, optional
        ``on_failure()`` after each failed call.
    retry_delay : RetryDelay, optional
    rng : random.Random, optional
        Source of the random delays between attempts.
    """

    __slots__ = (
        "_backoff",
        "_failures",
        "_newest_version",
        "_on_failure",
        "_on_reading",
        "_on_rows",
        "_restart",
        "_retry_delay",
        "_store",
        "_table",
        "_task",
        "_version",
        "_wait_ms",
    )

    def __init__(
        self,
        store,
        table,
        wait_ms,
        on_rows,
        on_reading=lambda reading: None,
        on_failure=lambda: None,
        retry_delay=FAST_RETRY,
        rng=None,
    ):
        self._store = store
        self._table = table
        self._wait_ms = wait_ms
        self._on_rows = on_rows
        self._on_reading = on_reading
        self._on_failure = on_failure
        self._retry_delay = retry_delay
        self._backoff = Backoff(
            retry_delay.min_ms, retry_delay.max_ms, rng or random.Random()
        )
        self._failures = 0
        # Version of the last reading; None if the table has to be read in full.
        self._version = None
        self._newest_version = 0
        self._task = None
        self._restart = asyncio.Event()

    async def start(self):
        """Start reading in a task of its own."""
        self._task = asyncio.create_task(self._run())

    async def close(self):
        """Stop reading."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    def read_again(self):
        """Abandon a call in progress, or a delay, and read at once.

        Called when the store has recovered after it had stopped answering. A call that
        was waiting at that time may never be answered, and changes made meanwhile
        would be seen only at its timeout.
        """
        if self._task is not None:
            self._restart.set()

    def offer(self, reading, since_version):
        """Apply a reading that came by another way than this watch's own calls.

        Parameters
        ==========
        reading : Reading
        since_version : int or None
            The reading holds all changes since this version; None if it holds all rows.

        Returns
        =======
        bool
            False if changes before the reading are missing here, or it is an old one.
        """
        is_snapshot = since_version is None
        if is_snapshot and reading.version < self._newest_version:
            return False
        if not is_snapshot and (self._version is None or since_version > self._version):
            return False
        self._pass_on(reading, is_snapshot)
        return True

    async def _run(self):
        while True:
            # Another way may bring the rows while this call is in progress.
            is_snapshot = self._version is None
            try:
                reading = await self._read()
            except HistoryGone:
                _log.warning("store_history_gone", table=self._table)
                self._version = None
                continue
            except PlatformError as error:
                await self._record_failure(error)
                continue
            if reading is None:
                continue
            if is_snapshot and reading.version < self._newest_version:
                # Deletions and orders since then would be undone.
                error = PlatformError("the rows are older than those that are known")
                await self._record_failure(error)
                continue
            self._apply(reading, is_snapshot)

    async def _read(self):
        """Return a reading, or None if the call was abandoned by ``read_again``."""
        call = asyncio.ensure_future(self._call())
        restart = asyncio.ensure_future(self._restart.wait())
        try:
            await asyncio.wait((call, restart), return_when=asyncio.FIRST_COMPLETED)
            if call.done():
                return call.result()
            self._restart.clear()
            return None
        finally:
            for item in (call, restart):
                item.cancel()
            await asyncio.gather(call, restart, return_exceptions=True)

    async def _call(self):
        if self._version is None:
            return await self._store.read_table(self._table)
        return await self._store.read_changes(self._table, self._version, self._wait_ms)

    async def _record_failure(self, error):
        self._failures += 1
        if self._failures == 1:
            _log.warning("store_lost", table=self._table, reason=error.message)
        self._on_failure()
        delay_ms = self._retry_delay.min_ms + self._backoff.delay_ms(self._failures)
        # ``read_again`` ends the delay early when the store has recovered.
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(
                min(self._retry_delay.max_ms, delay_ms) / MS_PER_S
            ):
                await self._restart.wait()
        self._restart.clear()

    def _apply(self, reading, is_snapshot):
        if self._failures:
            _log.info("store_regained", table=self._table, failed_calls=self._failures)
        self._failures = 0
        self._pass_on(reading, is_snapshot)

    def _pass_on(self, reading, is_snapshot):
        """Pass on the rows that are new here, and the reading."""
        rows = reading.rows
        if not is_snapshot:
            # Another way may have brought some of them before.
            rows = tuple(row for row in rows if row.version > self._version)
            reading = msgspec.structs.replace(reading, rows=rows)
        # A handler that fails on a row must not end the watch: the host would never
        # receive another change.
        try:
            if rows or is_snapshot:
                self._on_rows(reading, is_snapshot)
            self._record_version(reading)
            self._on_reading(reading)
        except Exception:
            _log.error("store_rows_failed", table=self._table, exc_info=True)
            self._record_version(reading)

    def _record_version(self, reading):
        """Advance to a reading's version; a relayed reading may be an older one."""
        self._version = max(self._version or 0, reading.version)
        self._newest_version = max(self._newest_version, self._version)
