"""A host's own readings of the store, which may go on while other hosts are asked."""

import asyncio

from hemlockhoist.base import MS_PER_S, PlatformError

# Time without an answer, beyond the wait, after which a reading is late.
MIN_LATE_MS = 1_500
# A store that answers slowly is late only if it is slower than before by this factor.
LATE_FACTOR = 2


class StoreLate(PlatformError):
    """The store has not answered yet; the call goes on."""


class OwnReadings:
    """Reads tables from the store, each by one call at a time.

    Failure prevented: a reading that takes long is given up although its answer is on
    the way, and is begun again.

    Parameters
    ==========
    store : RowStore
        Started and closed by its owner.
    on_late_end : callable
        ``on_late_end(table, since_version, reading, error)`` is called when a late
        reading has ended, with None for the ``Reading`` or the exception.
    """

    __slots__ = ("_calls", "_on_late_end", "_store")

    def __init__(self, store, on_late_end):
        self._store = store
        self._on_late_end = on_late_end
        # The readings in progress, by table.
        self._calls = {}

    async def close(self):
        """End all readings."""
        tasks = [call.task for call in self._calls.values()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    @property
    def is_late(self):
        """Whether a reading is late and goes on."""
        return any(call.is_late for call in self._calls.values())

    async def read_table(self, table, may_be_late):
        """Return a ``Reading`` of all rows; join one that is in progress.

        Parameters
        ==========
        table : str
        may_be_late : bool
            Whether to raise ``StoreLate`` if there is no answer in time.

        Raises
        ======
        StoreLate
            The reading goes on; ``on_late_end`` is called when it has ended.
        PlatformError
        """
        call = self._calls.get(table)
        if call is None or call.since_version is not None:
            call = self._begin(table, None, 0, self._store.read_table(table))
        return await self._result(call, 0, may_be_late)

    async def read_changes(self, table, since_version, wait_ms, may_be_late):
        """Return a ``Reading`` of the rows changed since a version.

        A late reading of changes is joined. It may repeat rows that are known.

        Raises
        ======
        StoreLate
            As of ``read_table``.
        HistoryGone, PlatformError
        """
        call = self._calls.get(table)
        if call is None or not call.has_changes_since(since_version):
            reading = self._store.read_changes(table, since_version, wait_ms)
            call = self._begin(table, since_version, wait_ms, reading)
        try:
            return await self._result(call, wait_ms, may_be_late)
        except asyncio.CancelledError:
            # The caller does not expect an answer on this connection any more.
            if not call.is_late:
                call.task.cancel()
            raise

    def _begin(self, table, since_version, wait_ms, reading):
        previous = self._calls.get(table)
        if previous is not None:
            previous.task.cancel()
        call = self._calls[table] = _Call(table, since_version, wait_ms, reading)
        call.task.add_done_callback(lambda task: self._on_end(call))
        return call

    async def _result(self, call, wait_ms, may_be_late):
        limit_s = None
        if may_be_late:
            late_ms = max(MIN_LATE_MS, LATE_FACTOR * self._store.answer_ms)
            limit_s = (wait_ms + late_ms) / MS_PER_S
        waits = (call.task, call.suspected) if may_be_late else (call.task,)
        await asyncio.wait(waits, timeout=limit_s, return_when=asyncio.FIRST_COMPLETED)
        if not call.task.done():
            self._set_late(call)
            raise StoreLate(f"no answer of the store on {call.table} yet")
        if call.task.cancelled():
            raise PlatformError(f"the reading of {call.table} was begun again")
        return call.task.result()

    def _set_late(self, call):
        """Record that a reading is late, and suspect those that wait for changes.

        Failure prevented: the store has gone silent, and a reading that waits for
        changes for a long time is the last to notice.
        """
        call.is_late = True
        for other in self._calls.values():
            if not other.suspected.done():
                other.suspected.set_result(None)

    def _end_suspected(self, answered):
        """End the readings that may never be answered, though the store is back."""
        for other in list(self._calls.values()):
            if other is not answered and other.waits and other.suspected.done():
                other.task.cancel()

    def _on_end(self, call):
        if self._calls.get(call.table) is call:
            del self._calls[call.table]
        if call.task.cancelled():
            return
        # Marks the exception as retrieved, as nobody may wait for the result.
        error = call.task.exception()
        if error is None:
            self._end_suspected(call)
        if call.is_late:
            reading = None if error is not None else call.task.result()
            self._on_late_end(call.table, call.since_version, reading, error)


class _Call:
    """A reading in progress.

    Attributes
    ==========
    table : str
    since_version : int or None
    waits : bool
        Whether the store may wait for changes before it answers.
    suspected : asyncio.Future
        Done when another reading is late, so that this one may not be answered either.
    is_late : bool
    task : asyncio.Task
    """

    __slots__ = ("is_late", "since_version", "suspected", "table", "task", "waits")

    def __init__(self, table, since_version, wait_ms, reading):
        self.table = table
        self.since_version = since_version
        self.waits = wait_ms > 0
        self.suspected = asyncio.get_running_loop().create_future()
        self.is_late = False
        self.task = asyncio.ensure_future(reading)

    def has_changes_since(self, version):
        """Return whether this late reading has all changes since a version."""
        known = self.since_version
        return self.is_late and known is not None and known <= version
