"""The store's tables, read from the store or relayed by another host."""

import asyncio

from hemlockhoist.base import MS_PER_S, PlatformError, get_logger
from hemlockhoist.base.metrics_table import STORE_CHANGES, STORE_ROW_BYTES
from hemlockhoist.decisions.entry import (
    MAX_DIRECT_READERS,
    TableCopy,
    find_readers,
    reader_for,
)
from hemlockhoist.entry.catch_up import CatchUp
from hemlockhoist.entry.feed_queries import FeedQueries
from hemlockhoist.entry.feed_server import FeedServer
from hemlockhoist.entry.own_readings import OwnReadings, StoreLate
from hemlockhoist.entry.row_packer import read_answer
from hemlockhoist.messages import FeedState
from hemlockhoist.store import HistoryGone, RowStore

_log = get_logger("entry.feeds")

# Longest wait of a query. A response without changes is sent after this time, so that
# a frozen or disconnected reader is detected by its silence, early enough for this host
# to learn from the store itself in time that an upstream leaves.
RELAYED_WAIT_MS = 1_000
# Retry interval of this host while neither it nor the readers reach the store. Readers
# retry continuously, and report when the store is back.
STORE_RETRY_INTERVAL_MS = 1_000
# How long a reader that has lost the store asks other readers before its next call.
READER_RETRY_INTERVAL_MS = 2_000
# How long a failed reader is skipped; the next reader or the store is read instead.
READER_BACKOFF_MS = 4_000
# Limit on waiting for the list of hosts, from which a starting host learns the readers.
# The list is read within some tens of milliseconds if the store answers.
INTRODUCED_WAIT_MS = 500
# Limits on waiting for the list of hosts, and then for a reader, before the first read
# of a table. They are short because callers wait for that read, and a live reader
# answers within a round trip or two.
FIRST_LIST_WAIT_MS = 100
FIRST_READER_WAIT_MS = 60
READER_CHECK_INTERVAL_MS = 5
# The next proof of the routes is to arrive this long before the previous one is too old.
PROOF_RESERVE_MS = 750
# Interval between two reads of the changes of a table that carries no proof of
# freshness: upstreams that leave, join or warm up together are returned by one read.
CHANGES_READ_INTERVAL_MS = 200


# Ways by which changes of the routes come, as labels of a metric.
BY_STORE = "store"
BY_READER = "reader"


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
        "_catch_up",
        "_changes_read_ms",
        "_context",
        "_copies",
        "_failed_readers",
        "_offers",
        "_own",
        "_own_due_ms",
        "_queries",
        "_relayed",
        "_server",
        "_store",
        "_store_due_ms",
    )

    def __init__(self, context, store, relayed):
        self._context = context
        self._store = store
        self._relayed = frozenset(relayed)
        self._copies = {}
        self._server = FeedServer(context, self._copies, self._reads_store)
        self._queries = FeedQueries(context, self._on_late_answer)
        self._catch_up = CatchUp(
            context, self._copies, self._queries, self._update_copy
        )
        # Time of the last read of a table's changes from the store.
        self._changes_read_ms = {}
        self._own = OwnReadings(store, self._on_late_end)
        # Handlers of readings that no call of a watch awaits, by table.
        self._offers = {}
        self._failed_readers = {}
        self._store_due_ms = 0
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
        _log.info(
            "table_read",
            table=table,
            rows=len(reading.rows),
            row_bytes=count_bytes(reading),
            relayed_by=reading.relayed_by,
            after_ms=self._context.clock.now_ms() - begun_ms,
        )
        return reading

    async def read_changes(self, table, since_version, wait_ms):
        """Return a ``Reading`` of the rows changed since a version."""
        await self._context.fleet.wait_introduced(INTRODUCED_WAIT_MS)
        while True:
            reading = await self._relayed_reading(table, since_version, wait_ms)
            if reading is not None:
                return reading
            await self._pace_changes_read(table)
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
        while self._may_have_reader() and clock.now_ms() < until_ms:
            await asyncio.sleep(READER_CHECK_INTERVAL_MS / MS_PER_S)

    def _may_have_reader(self):
        """Return whether a reader that is not known yet may serve this host."""
        fleet = self._context.fleet
        is_small = len(fleet.live_hosts()) <= MAX_DIRECT_READERS
        return (
            not is_small
            and not fleet.is_high_capacity
            and self._current_reader() is None
        )

    async def _pace_changes_read(self, table):
        """Wait briefly if the changes of a table have just been read."""
        now_ms = self._context.clock.now_ms()
        due_ms = self._changes_read_ms.get(table, 0) + CHANGES_READ_INTERVAL_MS
        if table != self._context.platform.config_table and due_ms > now_ms:
            await asyncio.sleep((due_ms - now_ms) / MS_PER_S)
        self._changes_read_ms[table] = self._context.clock.now_ms()

    async def commit(self, changes):
        """Apply all changes if all their conditions hold, or none."""
        return await self._store.commit(changes)

    async def _read_own_table(self, table):
        try:
            reading = await self._own.read_table(table, self._has_other_reader)
        except StoreLate:
            raise
        except PlatformError:
            self._on_store_lost(table)
            raise
        self._on_own_reading(table, reading, None)
        return reading

    async def _read_own_changes(self, table, since_version, wait_ms):
        wait_ms = self._own_wait_ms(table, wait_ms)
        try:
            reading = await self._own.read_changes(
                table, since_version, wait_ms, self._has_other_reader
            )
        except StoreLate:
            raise
        except PlatformError:
            self._on_store_lost(table)
            raise
        is_updated = self._on_own_reading(table, reading, since_version)
        if not is_updated and table in self._relayed and self.is_reader:
            # The copy is missing, or lacks changes that other readers relayed to this
            # host meanwhile: read the whole table.
            await self._read_own_table(table)
        return reading

    def _own_wait_ms(self, table, wait_ms):
        """Return how long the store may wait for a change before it answers."""
        if self._own_due_ms is not None:
            # A store that rejects this host may leave the call unanswered.
            return 0
        if table != self._context.platform.config_table:
            return wait_ms
        if self.is_reader:
            # The proof is renewed as often as the other hosts query this reader.
            wait_ms = min(wait_ms, RELAYED_WAIT_MS)
        # The answer shows the time at which it was sent, and the next one has to arrive
        # before that is too long ago.
        revocation_ms = self._context.settings.bounds.revocation_ms
        spare_ms = revocation_ms - PROOF_RESERVE_MS - 2 * self._store.answer_ms
        return max(0, min(wait_ms, spare_ms))

    def _on_own_reading(self, table, reading, since_version):
        """Use a reading of this host's own; return False if the copy lacks rows."""
        self._own_due_ms = None
        self._context.metrics.count(STORE_ROW_BYTES, table, count_bytes(reading))
        is_updated = self._update_copy(table, reading, since_version)
        is_config = table == self._context.platform.config_table
        if is_config and reading.rows and since_version is not None:
            self._context.metrics.count(STORE_CHANGES, BY_STORE)
            self._announce(table, reading.version)
        return is_updated

    def _on_late_end(self, table, since_version, reading, error):
        """Use a reading whose caller went on without it."""
        if error is not None:
            self._on_store_lost(table)
            return
        self._on_own_reading(table, reading, since_version)
        if table in self._offers:
            self._offers[table](reading, since_version)

    @property
    def _has_other_reader(self):
        """Whether another host relays the tables, and has not just failed to."""
        own, members = self._context.fleet.stable_members()
        avoid = {own.address, *self._failed_readers}
        return reader_for(members, own, avoid) is not None

    def _update_copy(self, table, reading, since_version):
        """Apply a reading to this host's copy; return False if the copy lacks rows.

        Each host keeps a copy of the routes, by which readers pack their changes.
        """
        if table not in self._relayed:
            return False
        copy = self._copies.get(table)
        if since_version is None:
            copy = self._copies.setdefault(table, TableCopy())
            copy.replace(reading)
        elif copy is None or copy.version < since_version:
            return False
        else:
            copy.apply(reading)
        self._server.lost_tables.discard(table)
        self._server.answer_waiting_queries(table)
        return True

    def _on_store_lost(self, table):
        """Notify the hosts that wait for a table that this host has lost the store."""
        if table not in self._relayed:
            return
        self._server.lost_tables.add(table)
        self._server.answer_waiting_queries(table)
        now_ms = self._context.clock.now_ms()
        if self.is_reader:
            self._own_due_ms = now_ms + READER_RETRY_INTERVAL_MS
        else:
            self._failed_readers.clear()
            self._store_due_ms = now_ms + STORE_RETRY_INTERVAL_MS

    # Queries to readers.

    def _current_reader(self):
        """Return the host to query, or None to read the store.

        Failure prevented: the store rejects a reader and serves the other hosts, and
        the reader keeps old routes for as long as that lasts.
        """
        now_ms = self._context.clock.now_ms()
        failed_readers = self._failed_readers.items()
        self._failed_readers = {
            host: until for host, until in failed_readers if until > now_ms
        }
        own, members = self._context.fleet.stable_members()
        avoid = set(self._failed_readers)
        is_lost = self._own_due_ms is not None and self._own_due_ms > now_ms
        if is_lost or self._own.is_late:
            avoid.add(own.address)
        return reader_for(members, own, avoid)

    @property
    def is_reader(self):
        """Whether this host reads the store itself."""
        own, members = self._context.fleet.stable_members()
        return reader_for(members, own) is None

    def _reads_store(self):
        """Return whether this host is a reader, and has the store."""
        return self.is_reader and self._own_due_ms is None

    async def _relayed_reading(self, table, since_version, wait_ms):
        """Return a reading relayed by a reader, or None to read the store instead."""
        while table in self._relayed:
            reader = self._current_reader()
            if reader is None:
                self._check_store_due()
                return None
            reading = await self._query_reader(reader, table, since_version, wait_ms)
            if reading is not None:
                return reading
            # The next reader is queried without a wait: a host that is cut off from all
            # readers has to read the store itself before its proof is too old.
            wait_ms = 0
        return None

    async def _query_reader(self, reader, table, since_version, wait_ms, unpacks=True):
        """Return the reading of one reader, or None if the reader failed."""
        wait_ms = min(wait_ms, RELAYED_WAIT_MS)
        sent_ms = self._context.boot_clock.now_ms()
        answer = await self._queries.send(
            reader.address, table, since_version, wait_ms, unpacks
        )
        if answer is None or answer.state is FeedState.FAILED:
            self._skip_reader(reader, table, timed_out=answer is None)
            return None
        if answer.state is FeedState.HISTORY_GONE:
            raise HistoryGone(f"{reader.address} has no history of {table}")
        reading = read_answer(answer, reader.address, self._copies.get(table), sent_ms)
        if reading is None and unpacks:
            return await self._query_reader(
                reader, table, since_version, 0, unpacks=False
            )
        if reading is None:
            self._skip_reader(reader, table, timed_out=False)
        elif table == self._context.platform.config_table:
            self._update_copy(table, reading, since_version)
            if reading.rows:
                self._context.metrics.count(STORE_CHANGES, BY_READER)
        return reading

    def _skip_reader(self, reader, table, timed_out):
        now_ms = self._context.clock.now_ms()
        self._failed_readers[reader.address] = now_ms + READER_BACKOFF_MS
        _log.info(
            "reader_failed", table=table, reader=reader.address, timed_out=timed_out
        )

    def _on_late_answer(self, query, answer):
        self._catch_up.on_late_answer(query, answer)

    def _announce(self, table, version):
        """Tell the readers of a change that this host has read from the store itself.

        Failure prevented: the store rejects all readers, and what the other hosts read
        stays with them.
        """
        _, members = self._context.fleet.stable_members()
        if self.is_reader:
            return
        for reader in find_readers(members).values():
            self._queries.tell(reader.address, table, version)

    # What other hosts know.

    def news(self):
        """Return the ``StoreNews`` of this host, or None."""
        return self._catch_up.news()

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
        if self._failed_readers and self._context.clock.now_ms() < self._store_due_ms:
            self._failed_readers.clear()
            raise PlatformError("neither the readers nor this host reach the store")

    def on_query(self, sender, message):
        """Handle another host's query."""
        self._server.on_query(sender, message)

    def on_answer(self, message):
        """Handle a reader's answer."""
        self._queries.on_answer(message)


def count_bytes(reading):
    """Return the number of bytes of the values of a ``Reading``."""
    return sum(len(row.value or b"") for row in reading.rows)
