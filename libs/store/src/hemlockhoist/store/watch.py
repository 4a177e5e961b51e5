"""Following one table of the store, across outages and lost history."""

import asyncio
import contextlib
import random

import msgspec

from hemlockhoist.base import MS_PER_S, PlatformError, get_logger
from hemlockhoist.store.retries import Backoff
from hemlockhoist.store.rows import HistoryGone

_log = get_logger("store.watch")


class RetryDelay(msgspec.Struct, frozen=True, kw_only=True):
    """Bounds of the random pause between attempts while the store fails."""

    min_ms: int
    max_ms: int


# For the table that proves freshness: a single lost answer must not cost the proof. The
# bound keeps some hundred hosts from spending the store's rate on an outage.
FAST_RETRY = RetryDelay(min_ms=60, max_ms=400)
# For tables whose watch is told when the store is back: each call of an outage costs.
SLOW_RETRY = RetryDelay(min_ms=300, max_ms=2_000)


class TableWatch:
    """Reads a table once and then its changes, for as long as it is started.

    Parameters
    ==========
    store : RowStore
    table : str
    wait_ms : int
        The longest that a call waits for changes; also the longest time between two
        proofs that nothing has changed.
    on_rows : callable
        ``on_rows(reading, is_snapshot)``; with ``is_snapshot`` its rows are all there are.
    on_reading : callable, optional
        ``on_reading(reading)`` after each successful call.
    on_failure : callable, optional
        ``on_failure()`` after each failed one.
    retry_delay : RetryPace, optional
    rng : random.Random, optional
        Of the pauses between attempts.
    """

    __slots__ = (
        "_backoff",
        "_failures",
        "_on_failure",
        "_on_reading",
        "_on_rows",
        "_retry_delay",
        "_store",
        "_table",
        "_task",
        "_version",
        "_wait_ms",
        "_wake",
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
        self._version = None
        self._task = None
        self._wake = asyncio.Event()

    async def start(self):
        """Begin to read."""
        self._task = asyncio.create_task(self._run())

    async def close(self):
        """Stop reading."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    def read_again(self):
        """Give a waiting call up and ask anew.

        Failure: the store went silent and came back. A call that was waiting then may
        never be answered, and what changed meanwhile would show only at its time
        limit. Whoever hears that the store is back says so here.
        """
        if self._task is not None:
            self._wake.set()

    async def _run(self):
        while True:
            try:
                reading = await self._read()
            except HistoryGone:
                _log.warning("store_history_gone", table=self._table)
                self._version = None
                continue
            except PlatformError as error:
                await self._note_failure(error)
                continue
            if reading is not None:
                self._take(reading)

    async def _read(self):
        """Return a reading, or None where it was given up to ask anew."""
        call = asyncio.ensure_future(self._call())
        wake = asyncio.ensure_future(self._wake.wait())
        try:
            await asyncio.wait((call, wake), return_when=asyncio.FIRST_COMPLETED)
            if call.done():
                return call.result()
            self._wake.clear()
            return None
        finally:
            for item in (call, wake):
                item.cancel()
            await asyncio.gather(call, wake, return_exceptions=True)

    async def _call(self):
        if self._version is None:
            return await self._store.read_table(self._table)
        return await self._store.read_changes(self._table, self._version, self._wait_ms)

    async def _note_failure(self, error):
        self._failures += 1
        if self._failures == 1:
            _log.warning("store_lost", table=self._table, reason=error.message)
        self._on_failure()
        delay_ms = self._retry_delay.min_ms + self._backoff.delay_ms(self._failures)
        # Whoever hears that the store is back ends the pause.
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(
                min(self._retry_delay.max_ms, delay_ms) / MS_PER_S
            ):
                await self._wake.wait()
        self._wake.clear()

    def _take(self, reading):
        if self._failures:
            _log.info("store_regained", table=self._table, failed_calls=self._failures)
        self._failures = 0
        is_snapshot = self._version is None
        # A handler that fails on a row must not end the watch: the host would go on
        # for good with what it knew.
        try:
            if reading.rows or is_snapshot:
                self._on_rows(reading, is_snapshot)
            self._note_version(reading)
            self._on_reading(reading)
        except Exception:
            _log.error("store_rows_failed", table=self._table, exc_info=True)
            self._note_version(reading)

    def _note_version(self, reading):
        """Take a reading's version, unless it is an older one that was passed on."""
        self._version = max(self._version or 0, reading.version)
