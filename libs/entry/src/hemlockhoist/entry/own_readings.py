"""A host's own readings of the store, which may go on while other hosts are asked."""

import asyncio

from hemlockhoist.base import MS_PER_S, PlatformError
from hemlockhoist.store import HistoryGone

# Readings that are begun beside late ones, over all tables.
MAX_EXTRA_CALLS = 4


class StoreLate(PlatformError):
    """The store has not answered yet; the call goes on."""


class OwnReadings:
    """Reads tables from the store, each by one call at a time.

    Failure prevented: a reading that takes long is given up although its answer is on
    the way, and is begun again.

    Parameters
    ==========
    clock : Clock
    store : RowStore
        Started and closed by its owner.
    on_late_end : callable
        ``on_late_end(table, since_version, reading, error)`` is called when a late
        reading has ended, with None for the ``Reading`` or the exception.
    """

    __slots__ = ("_calls", "_clock", "_extra_calls", "_on_late_end", "_store")

    def __init__(self, clock, store, on_late_end):
        self._clock = clock
        self._store = store
        self._on_late_end = on_late_end
        # The readings in progress, by table.
        self._calls = {}
        # Those that were begun beside a late one.
        self._extra_calls = set()

    async def close(self):
        """End all readings."""
        calls = (*self._calls.values(), *self._extra_calls)
        tasks = [call.task for call in calls]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    @property
    def is_late(self):
        """Whether a reading is late and goes on."""
        return any(call.is_late for call in self._calls.values())

    def answer_ms(self):
        """Return how long the store takes for an answer, as far as this is known.

        A reading that waits for no change, and has no answer yet, shows that it takes
        longer than that.
        """
        now_ms = self._clock.now_ms()
        open_ms = (now_ms - c.begun_ms for c in self._calls.values() if not c.waits)
        return max(self._store.answer_ms, *open_ms, 0)

    @property
    def is_reading(self):
        """Whether any reading is in progress."""
        return bool(self._calls)

    def reads_table(self, table):
        """Return whether a whole reading of a table is in progress."""
        call = self._calls.get(table)
        return call is not None and call.since_version is None

    def begin_table(self, table):
        """Begin a reading of all rows that nobody waits for, unless one is in progress.

        ``on_late_end`` is called when it has ended.
        """
        if not self.reads_table(table):
            self._begin(table, None, 0, self._store.read_table(table)).is_late = True

    def begin_changes(self, table, since_version):
        """Begin a reading of changes that nobody waits for.

        ``on_late_end`` is called when it has ended. One in progress goes on beside it if
        it is late; otherwise none is begun.
        """
        known = self._calls.get(table)
        if known is None:
            reading = self._store.read_changes(table, since_version, 0)
            self._begin(table, since_version, 0, reading).is_late = True
        elif known.is_late and len(self._extra_calls) < MAX_EXTRA_CALLS:
            reading = self._store.read_changes(table, since_version, 0)
            call = _Call(table, since_version, 0, reading, self._clock.now_ms())
            call.is_late = True
            self._extra_calls.add(call)
            call.task.add_done_callback(lambda task: self._on_extra_end(call))

    def _on_extra_end(self, call):
        """Use a reading that was begun beside a late one, which is ended."""
        self._extra_calls.discard(call)
        if call.task.cancelled():
            return
        error = call.task.exception()
        if error is None or isinstance(error, HistoryGone):
            known = self._calls.get(call.table)
            if known is not None and known.is_late and known.since_version is not None:
                known.task.cancel()
            self._on_end(call)

    async def read_table(self, table, late_ms=None):
        """Return a ``Reading`` of all rows; join one that is in progress.

        Parameters
        ==========
        table : str
        late_ms : int or None, optional
            Time after which the reading is late; None to wait until it has ended.

        Raises
        ======
        StoreLate
            The reading goes on; ``on_late_end`` is called when it has ended.
        PlatformError
        """
        if not self.reads_table(table):
            self._begin(table, None, 0, self._store.read_table(table))
        call = self._calls[table]
        try:
            return await self._result(call, late_ms)
        except asyncio.CancelledError:
            call.is_left = True
            raise

    async def read_changes(self, table, since_version, wait_ms, late_ms=None):
        """Return a ``Reading`` of the rows changed since a version.

        A late reading of changes is joined. It may repeat rows that are known.

        Parameters
        ==========
        table : str
        since_version : int
        wait_ms : int
            How long the store may wait for a change before it answers.
        late_ms : int or None, optional
            Time beyond the wait after which the reading is late.

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
            limit_ms = None if late_ms is None else wait_ms + late_ms
            return await self._result(call, limit_ms)
        except asyncio.CancelledError:
            # The caller does not expect an answer on this connection any more.
            if not call.is_late:
                call.task.cancel()
            raise

    def _begin(self, table, since_version, wait_ms, reading):
        previous = self._calls.get(table)
        if previous is not None:
            previous.task.cancel()
        call = _Call(table, since_version, wait_ms, reading, self._clock.now_ms())
        self._calls[table] = call
        call.task.add_done_callback(lambda task: self._on_end(call))
        return call

    async def _result(self, call, limit_ms):
        if limit_ms is None:
            await asyncio.wait((call.task,))
        else:
            await asyncio.wait(
                (call.task, call.suspected),
                timeout=limit_ms / MS_PER_S,
                return_when=asyncio.FIRST_COMPLETED,
            )
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
        if call.is_late or call.is_left:
            reading = None if error is not None else call.task.result()
            self._on_late_end(call.table, call.since_version, reading, error)


class _Call:
    """A reading in progress.

    Attributes
    ==========
    table : str
    since_version : int or None
    begun_ms : int
    waits : bool
        Whether the store may wait for changes before it answers.
    suspected : asyncio.Future
        Done when another reading is late, so that this one may not be answered either.
    is_late : bool
    is_left : bool
        Whether its caller was cancelled.
    task : asyncio.Task
    """

    __slots__ = (
        "begun_ms",
        "is_late",
        "is_left",
        "since_version",
        "suspected",
        "table",
        "task",
        "waits",
    )

    def __init__(self, table, since_version, wait_ms, reading, begun_ms):
        self.begun_ms = begun_ms
        self.table = table
        self.since_version = since_version
        self.waits = wait_ms > 0
        self.suspected = asyncio.get_running_loop().create_future()
        self.is_late = False
        self.is_left = False
        self.task = asyncio.ensure_future(reading)

    def has_changes_since(self, version):
        """Return whether this late reading has all changes since a version."""
        known = self.since_version
        return self.is_late and known is not None and known <= version
