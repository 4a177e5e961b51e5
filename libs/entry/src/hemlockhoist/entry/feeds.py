"""The store's tables, read from the store or relayed by another host."""

import asyncio

import msgspec

from hemlockhoist.base import MS_PER_S, PlatformError, get_logger
from hemlockhoist.base.metrics_table import STORE_CHANGES, STORE_ROW_BYTES
from hemlockhoist.decisions.entry import TableCopy
from hemlockhoist.entry.catch_up import CatchUp
from hemlockhoist.entry.change_announcer import ChangeAnnouncer
from hemlockhoist.entry.feed_queries import FeedQueries
from hemlockhoist.entry.feed_server import FeedServer
from hemlockhoist.entry.own_readings import OwnReadings, StoreLate
from hemlockhoist.entry.reader_choice import ReaderChoice
from hemlockhoist.entry.relayed_readings import RELAYED_WAIT_MS, RelayedReadings
from hemlockhoist.store import HistoryGone, RowStore

_log = get_logger("entry.feeds")

# Retry interval of this host while neither it nor the readers reach the store. Readers
# retry continuously, and report when the store is back.
STORE_RETRY_INTERVAL_MS = 1_000
# How long a reader that has lost the store asks other readers before its next call.
READER_RETRY_INTERVAL_MS = 1_000
# Limit on waiting for the list of hosts, from which a starting host learns the readers.
# The list is read within some tens of milliseconds if the store answers.
INTRODUCED_WAIT_MS = 500
# Limits on waiting for the list of hosts, and then for a reader, before the first read
# of a table. They are short because callers wait for that read, and a live reader
# answers within a round trip or two.
FIRST_LIST_WAIT_MS = 100
FIRST_READER_WAIT_MS = 60
READER_CHECK_INTERVAL_MS = 5
# Time without an answer, beyond the wait, after which this reader asks other readers
# beside its own call. A store that answers slowly is late only if it is slower than
# before by the factor.
MIN_LATE_MS = 500
LATE_FACTOR = 2
# Likewise for a host that has called the store as a reader kept it waiting.
IMPATIENT_LATE_MS = 300
# Time for a host to read a whole table, and to tell the others, before the next one
# does; an answer of the store comes on top, twice.
TAKEOVER_STEP_MS = 1_000
# The next proof of the routes is to arrive this long before the previous one is too old.
PROOF_RESERVE_MS = 750
# Interval between two reads of the changes of a table that carries no proof of
# freshness: upstreams that leave, join or warm up together are returned by one read.
CHANGES_READ_INTERVAL_MS = 200
# Label of a metric for changes that came from the store.
BY_STORE = "store"


class FeedStore(RowStore):
    """Reads tables from the store, or from another host that reads it.

    Hosts that read the store themselves and relay their readings are called readers.
    Writes always go to the store.

    Parameters
    ==========
    context : EntryContext
    store : RowStore
        Started and closed by its owner.
    relayed : sequence of str
        The tables that are relayed between hosts.
    """

    __slots__ = (
        "_announcer",
        "_catch_up",
        "_changes_read_ms",
        "_choice",
        "_context",
        "_copies",
        "_has_read_store",
        "_late_readings",
        "_missing_since_ms",
        "_offers",
        "_own",
        "_own_due_ms",
        "_queries",
        "_relayed",
        "_relayed_readings",
        "_server",
        "_store",
        "_store_due_ms",
        "_tried_ms",
    )

    def __init__(self, context, store, relayed):
        self._context = context
        self._store = store
        self._relayed = frozenset(relayed)
        self._copies = {}
        self._own = OwnReadings(context.clock, store, self._on_late_end)
        self._server = FeedServer(
            context, self._copies, self._reads_store, self._own.answer_ms
        )
        self._queries = FeedQueries(context, self._on_late_answer)
        self._announcer = ChangeAnnouncer(context, self._queries)
        self._catch_up = CatchUp(
            context, self._copies, self._queries, self._update_copy
        )
        # Time of the last read of a table's changes from the store.
        self._changes_read_ms = {}
        # The readings that ended after their callers had gone on, by table.
        self._late_readings = {}
        # Whether the newest reading of this host was its own.
        self._has_read_store = False
        # Since when this host lacks rows whose changes the store has dropped, by table.
        self._missing_since_ms = {}
        # Handlers of readings that no call of a watch awaits, by table.
        self._offers = {}
        self._choice = ReaderChoice(context)
        self._relayed_readings = RelayedReadings(
            context, self._copies, self._queries, self._choice, self._update_copy
        )
        self._store_due_ms = 0
        # When this host last called the store beside its queries to others, by table.
        self._tried_ms = {}
        # When this reader, which lost the store, calls it again; None if it has it.
        self._own_due_ms = None

    async def close(self):
        """Stop reading."""
        await self._catch_up.close()
        await self._own.close()

    def set_offer(self, table, offer):
        """Set the handler of readings of a table that no call of a watch awaits.

        Parameters
        ==========
        table : str
        offer : callable
            ``offer(reading, since_version)``, see ``TableWatch.offer``.
        """
        self._offers[table] = offer
        if table == self._context.platform.config_table:
            self._catch_up.set_offer(offer)

    # Reads and writes of this host.

    async def read_table(self, table):
        """Return a ``Reading`` of all rows of a table."""
        begun_ms = self._context.clock.now_ms()
        await self._wait_for_reader()
        reading = None
        while reading is None:
            reading = await self._relayed_reading(table, None, 0)
            if reading is None:
                reading = await self._unless_late(self._read_own_table(table))
        self._log_whole(table, reading, begun_ms)
        return reading

    def _log_whole(self, table, reading, begun_ms):
        _log.info(
            "table_read",
            table=table,
            rows=len(reading.rows),
            row_bytes=count_bytes(reading),
            relayed_by=reading.relayed_by,
            after_ms=self._context.clock.now_ms() - begun_ms,
        )

    async def read_changes(self, table, since_version, wait_ms):
        """Return a ``Reading`` of the rows changed since a version."""
        await self._context.fleet.wait_introduced(INTRODUCED_WAIT_MS)
        while True:
            reading = self._take_late(table, since_version)
            if reading is not None:
                return reading
            reading = await self._relayed_reading(table, since_version, wait_ms)
            if reading is not None:
                return reading
            await self._pace_changes_read(table, wait_ms)
            reading = await self._unless_late(
                self._read_own_changes(table, since_version, wait_ms)
            )
            if reading is not None:
                return reading

    async def _unless_late(self, own_reading):
        """Return a reading of this host's own, or None if another host can be asked.

        Failure prevented: the store is silent to this host only, which hears of no
        change until its call has ended.
        """
        try:
            return await own_reading
        except StoreLate as error:
            _log.info("store_late", reason=error.message)
            return None

    async def _wait_for_reader(self):
        """Wait briefly until a reader is known, if another host may be one.

        Load prevented: hosts of a large fleet that are restarted one after the other
        would each read all tables from the store. The wait is short because no reader
        is up when all hosts start at once, and callers wait meanwhile.
        """
        fleet, clock = self._context.fleet, self._context.clock
        await fleet.wait_introduced(FIRST_LIST_WAIT_MS)
        until_ms = clock.now_ms() + FIRST_READER_WAIT_MS
        while self._choice.may_have_reader() and clock.now_ms() < until_ms:
            await asyncio.sleep(READER_CHECK_INTERVAL_MS / MS_PER_S)

    async def _pace_changes_read(self, table, wait_ms):
        """Wait briefly if the changes of a table have just been read.

        Changes of the routes are read at once, unless the store is not to wait for one:
        its answers would follow one another as fast as they arrive.
        """
        now_ms = self._context.clock.now_ms()
        due_ms = self._changes_read_ms.get(table, 0) + CHANGES_READ_INTERVAL_MS
        is_config = table == self._context.platform.config_table
        is_paced = not is_config or not self._own_wait_ms(table, wait_ms)
        if is_paced and due_ms > now_ms:
            await asyncio.sleep((due_ms - now_ms) / MS_PER_S)
        self._changes_read_ms[table] = self._context.clock.now_ms()

    async def commit(self, changes):
        """Apply all changes if all their conditions hold, or none."""
        return await self._store.commit(changes)

    async def _read_own_table(self, table):
        try:
            reading = await self._own.read_table(table, self._late_ms())
        except StoreLate:
            raise
        except PlatformError:
            self._on_store_lost(table)
            raise
        self._on_own_reading(table, reading, None)
        return reading

    async def _read_own_changes(self, table, since_version, wait_ms):
        self._check_turn(table)
        wait_ms = self._own_wait_ms(table, wait_ms)
        try:
            if self._own.reads_table(table):
                return await self._read_missing(table, since_version)
            reading = await self._own.read_changes(
                table, since_version, wait_ms, self._late_ms()
            )
        except HistoryGone:
            _log.warning("store_history_gone", table=table)
            return await self._read_missing(table, since_version)
        except StoreLate:
            raise
        except PlatformError:
            self._on_store_lost(table)
            raise
        is_updated = self._on_own_reading(table, reading, since_version)
        if not is_updated and table in self._relayed and self.is_reader:
            # The copy is missing: the other hosts need all rows.
            await self._read_own_table(table)
        return reading

    async def _read_missing(self, table, since_version):
        """Return the changes since a version as found by reading the whole table.

        Failure prevented: the store has dropped its history, and hosts drop the rows
        that they know, to read all of them again.

        Raises
        ======
        HistoryGone
            If this host does not know the rows of that version.
        """
        copy = self._copies.get(table)
        if copy is None or copy.version < since_version:
            raise HistoryGone(f"the rows of {table} are not known here")
        self._missing_since_ms.setdefault(table, self._context.clock.now_ms())
        self._check_turn(table)
        begun_ms = self._context.clock.now_ms()
        whole = await self._read_own_table(table)
        self._log_whole(table, whole, begun_ms)
        rows = copy.changes(since_version)
        if rows is None:
            raise HistoryGone(f"the changes of {table} are not known here")
        return msgspec.structs.replace(whole, rows=rows)

    def _check_turn(self, table):
        """Refuse to read a whole table before the hosts that are to do so first.

        Load prevented: the readers fail as the store drops its history, and all hosts
        read whole tables, on the links that their callers use.

        Raises
        ======
        PlatformError
        """
        since_ms = self._missing_since_ms.get(table)
        if since_ms is None or self.is_reader:
            return
        step_ms = TAKEOVER_STEP_MS + 2 * self._store.answer_ms
        due_ms = since_ms + self._choice.takeover_rank() * step_ms
        if self._context.clock.now_ms() < due_ms:
            raise PlatformError(f"another host is to read all rows of {table}")

    def _own_wait_ms(self, table, wait_ms):
        """Return how long the store may wait for a change before it answers."""
        if self._own_due_ms is not None:
            # A store that rejects this host may leave the call unanswered.
            return 0
        other = self._choice.choose(avoids_own=self._avoids_own)
        if not self.is_reader and other is not None:
            # A reader is up and waits for the store, as this host does now.
            return 0
        if table != self._context.platform.config_table:
            return wait_ms
        if self.is_reader:
            # The proof is renewed as often as the other hosts query this reader.
            wait_ms = max(0, RELAYED_WAIT_MS - self._store.answer_ms)
        # The answer shows the time at which it was sent, and the next one has to arrive
        # before that is too long ago.
        revocation_ms = self._context.settings.bounds.revocation_ms
        spare_ms = revocation_ms - PROOF_RESERVE_MS - 2 * self._store.answer_ms
        return max(0, min(wait_ms, spare_ms))

    def _on_own_reading(self, table, reading, since_version):
        """Use a reading of this host's own; return False if the copy lacks rows."""
        self._own_due_ms = None
        self._has_read_store = True
        self._context.metrics.count(STORE_ROW_BYTES, table, count_bytes(reading))
        is_updated = self._update_copy(table, reading, since_version)
        is_config = table == self._context.platform.config_table
        if is_config and reading.rows and since_version is not None:
            self._context.metrics.count(STORE_CHANGES, BY_STORE)
            self._announcer.on_change(table, reading.version)
        return is_updated

    def _on_late_end(self, table, since_version, reading, error):
        """Use a reading that its caller does not wait for."""
        if isinstance(error, HistoryGone):
            self._on_late_history_gone(table, since_version)
            return
        if error is not None:
            self._on_store_lost(table)
            return
        self._on_own_reading(table, reading, since_version)
        self._late_readings[table] = reading
        if table in self._offers:
            self._offers[table](reading, since_version)

    def _on_late_history_gone(self, table, since_version):
        """Read a table whose changes the store has dropped, if others rely on this host.

        Failure prevented: a slow store's answer that the history is gone is dropped, and
        the next reading of changes waits as long for the same answer.
        """
        copy = self._copies.get(table)
        # Rows that were read since answer a call that began before.
        is_missing = copy is None or copy.version <= since_version
        if self.is_reader and is_missing:
            _log.warning("store_history_gone", table=table)
            self._missing_since_ms.setdefault(table, self._context.clock.now_ms())
            self._own.begin_table(table)

    def _take_late(self, table, since_version):
        """Return the changes of a late reading that has ended, or None."""
        reading, copy = self._late_readings.pop(table, None), self._copies.get(table)
        if reading is None or copy is None or reading.version <= since_version:
            return None
        rows = copy.changes(since_version)
        return None if rows is None else msgspec.structs.replace(reading, rows=rows)

    def _update_copy(self, table, reading, since_version):
        """Apply a reading to this host's copy; return False if the copy lacks rows.

        Each host keeps copies, as it may become a reader: the hosts that read through
        it then need changes only.
        """
        if table not in self._relayed:
            return False
        copy = self._copies.get(table)
        if since_version is None:
            copy = self._copies.setdefault(table, TableCopy())
        elif copy is None or copy.version < since_version:
            return False
        previous = (copy.version, copy.store_ms)
        if since_version is None:
            copy.replace(reading)
        else:
            copy.apply(reading)
        self._missing_since_ms.pop(table, None)
        if previous != (copy.version, copy.store_ms):
            # Two hosts that follow each other would answer each other without end.
            self._server.lost_tables.discard(table)
            self._server.answer_waiting_queries(table)
        return True

    def _on_store_lost(self, table):
        """Notify the hosts that wait for a table that this host has lost the store."""
        if table not in self._relayed:
            return
        self._has_read_store = False
        self._server.lost_tables.add(table)
        self._server.answer_waiting_queries(table)
        now_ms = self._context.clock.now_ms()
        if self.is_reader:
            self._own_due_ms = now_ms + READER_RETRY_INTERVAL_MS
        else:
            self._choice.forgive()
            self._store_due_ms = now_ms + STORE_RETRY_INTERVAL_MS

    # Queries to readers.

    @property
    def is_reader(self):
        """Whether this host reads the store itself."""
        return self._choice.is_reader

    def _reads_store(self):
        """Return whether this host reads the store itself, and has not lost it."""
        if self.is_reader:
            return self._own_due_ms is None
        return self._has_read_store or self._own.is_reading

    @property
    def _avoids_own(self):
        """Whether to ask other hosts though this one is a reader."""
        now_ms = self._context.clock.now_ms()
        is_lost = self._own_due_ms is not None and self._own_due_ms > now_ms
        return is_lost or self._own.is_late

    def _late_ms(self):
        """Return after what time other hosts are asked beside this one's call, or None.

        None is returned if no other host reads the store, or all have just failed.
        """
        if self._choice.choose(avoids_own=True) is None:
            return None
        if self.is_reader:
            return max(MIN_LATE_MS, LATE_FACTOR * self._store.answer_ms)
        return IMPATIENT_LATE_MS

    async def _relayed_reading(self, table, since_version, wait_ms):
        """Return a reading relayed by a reader, or None to read the store instead."""
        if table not in self._relayed:
            return None
        avoids_own = self._avoids_own
        if avoids_own and self.is_reader and since_version is not None:
            self._try_store(table, since_version)
        reading = await self._relayed_readings.read(
            table, since_version, wait_ms, avoids_own
        )
        if reading is None:
            self._check_store_due()
        else:
            self._has_read_store = False
        return reading

    def _try_store(self, table, since_version):
        """Call the store beside the queries to other hosts, from time to time.

        Failure prevented: a call for one table hangs, and this host follows others in
        all tables for as long, though the store serves it and none of them any more.
        """
        now_ms = self._context.clock.now_ms()
        if now_ms >= self._tried_ms.get(table, 0) + READER_RETRY_INTERVAL_MS:
            self._tried_ms[table] = now_ms
            self._own.begin_changes(table, since_version)

    def _on_late_answer(self, query, answer):
        self._catch_up.on_late_answer(query, answer)

    # What other hosts know.

    def news(self):
        """Return the ``StoreNews`` of this host, or None."""
        return self._catch_up.news()

    def behind_ms(self):
        """Return for how long this host has known of routes that it lacks, or 0."""
        return self._catch_up.behind_ms()

    def on_news(self, sender, news):
        """Handle what another host knows of the routes."""
        self._catch_up.on_news(sender, news)

    def _check_store_due(self):
        """Refuse a read shortly after the store was unreachable.

        Load prevented: in an outage, each host of a large fleet reads the store several
        times a second, and all of them at once when the store returns.

        Raises
        ======
        PlatformError
        """
        is_early = self._context.clock.now_ms() < self._store_due_ms
        if self._choice.has_skipped and is_early:
            self._choice.forgive()
            raise PlatformError("neither the readers nor this host reach the store")

    def on_query(self, sender, message):
        """Handle another host's query."""
        if message.is_announcement:
            self._announcer.on_announced(message.since_version)
            return
        self._server.on_query(sender, message)

    def on_answer(self, message):
        """Handle a reader's answer."""
        self._queries.on_answer(message)


def count_bytes(reading):
    """Return the number of bytes of the values of a ``Reading``."""
    return sum(len(row.value or b"") for row in reading.rows)
