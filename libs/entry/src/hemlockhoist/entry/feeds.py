"""The store's tables as this host reads them itself or through another host."""

import asyncio
import itertools

from hemlockhoist.base import MS_PER_S, PlatformError, get_logger
from hemlockhoist.decisions.entry import MAX_DIRECT_READERS, TableCopy, reader_for
from hemlockhoist.messages import FeedAnswer, FeedQuestion, FeedRow, FeedState
from hemlockhoist.store import HistoryGone, Reading, RowStore, StoreRow

_log = get_logger("entry.feeds")

# An answer without news comes this often: a reader that is frozen or cut off is found
# out by its silence, and soon enough to hear in time from the store itself that an
# upstream leaves.
RELAYED_WAIT_MS = 1_000
# What a question may be under way beside its wait.
ANSWER_SLACK_MS = 300
# While neither the reader nor this host reaches the store, this host tries it so often:
# the readers try it all the time, and tell when it is back.
STORE_RETRY_MS = 1_000
# A reader that failed is not asked for this long; the store is, meanwhile.
READER_REST_MS = 4_000
# The list of hosts tells a host that starts which readers there are; read within some
# tens of milliseconds where the store answers.
INTRODUCED_WAIT_MS = 500
# Before a table is read for the first time, which callers wait for: for the list, and
# then for a reader to answer. A reader that is up does so within a round trip or two.
FIRST_LIST_WAIT_MS = 100
FIRST_READER_WAIT_MS = 60
READER_CHECK_MS = 5
# Between two calls for the changes of a table that no proof hangs on: upstreams that
# leave, come or warm up together show in one answer.
CHANGES_APART_MS = 200
# A reader whose newest proof of the routes is older than this has lost the store, or
# will find out that it has: the proof is renewed each second.
MAX_READER_PROOF_MS = 1_700


class FeedStore(RowStore):
    """Reads tables from the store, or asks a host that does.

    Writes always go to the store.

    Parameters
    ==========
    context : EntryContext
    store : RowStore
        Started and closed by its owner.
    relayed : sequence of str
        The tables that are passed on between hosts.
    """

    __slots__ = (
        "_asked",
        "_asked_ms",
        "_context",
        "_copies",
        "_numbers",
        "_relayed",
        "_resting",
        "_store",
        "_store_due_ms",
        "_waiting",
    )

    def __init__(self, context, store, relayed):
        self._context = context
        self._store = store
        self._relayed = frozenset(relayed)
        self._copies = {}
        self._waiting = {}
        self._asked = {}
        # When the store was last asked for the changes of a table.
        self._asked_ms = {}
        self._numbers = itertools.count(1)
        self._resting = {}
        self._store_due_ms = 0

    # As a store.

    async def read_table(self, table):
        """Return a ``Reading`` of all rows of a table."""
        await self._wait_reader()
        reading = await self._relayed_reading(table, None, 0)
        if reading is not None:
            return reading
        return await self._own_table(table)

    async def read_changes(self, table, since_version, wait_ms):
        """Return a ``Reading`` of the rows changed since a version."""
        await self._context.fleet.wait_introduced(INTRODUCED_WAIT_MS)
        reading = await self._relayed_reading(table, since_version, wait_ms)
        if reading is not None:
            return reading
        await self._keep_apart(table)
        return await self._own_changes(table, since_version, wait_ms)

    async def _wait_reader(self):
        """Wait a little for a reader to be known, where another host may be one.

        Load: hosts of a large fleet that are restarted one after the other, each of
        which would read all tables from the store. Where all start at once no reader is
        up, and callers wait: so not for long.
        """
        fleet, clock = self._context.fleet, self._context.clock
        await fleet.wait_introduced(FIRST_LIST_WAIT_MS)
        until_ms = clock.now_ms() + FIRST_READER_WAIT_MS
        while self._may_be_read_for() and clock.now_ms() < until_ms:
            await asyncio.sleep(READER_CHECK_MS / MS_PER_S)

    def _may_be_read_for(self):
        """Return whether a reader that is not known yet may read for this host."""
        fleet = self._context.fleet
        is_small = len(fleet.live_hosts()) <= MAX_DIRECT_READERS
        return not is_small and not fleet.is_high_capacity and self._reader() is None

    async def _keep_apart(self, table):
        """Wait a little where the store was asked for a table's changes just now."""
        now_ms = self._context.clock.now_ms()
        due_ms = self._asked_ms.get(table, 0) + CHANGES_APART_MS
        if table != self._context.platform.config_table and due_ms > now_ms:
            await asyncio.sleep((due_ms - now_ms) / MS_PER_S)
        self._asked_ms[table] = self._context.clock.now_ms()

    async def commit(self, changes):
        """Apply all changes if all their conditions hold, or none."""
        return await self._store.commit(changes)

    async def _own_table(self, table):
        reading = await self._store.read_table(table)
        if table in self._relayed:
            copy = self._copies[table] = TableCopy()
            copy.replace(reading)
            self._answer_waiting(table)
        return reading

    async def _own_changes(self, table, since_version, wait_ms):
        if self.is_reader and table == self._context.platform.config_table:
            # What others rely on is proven as often as they ask for it.
            wait_ms = min(wait_ms, RELAYED_WAIT_MS)
        try:
            reading = await self._store.read_changes(table, since_version, wait_ms)
        except PlatformError:
            self._on_lost(table)
            raise
        copy = self._copies.get(table)
        if copy is not None and copy.version >= since_version:
            copy.apply(reading)
            self._answer_waiting(table)
        elif table in self._relayed and self.is_reader:
            # A copy that missed what others passed on in the meantime is of no use.
            await self._own_table(table)
        return reading

    def _on_lost(self, table):
        """Tell those who wait that this host has lost the store."""
        if table not in self._relayed:
            return
        self._copies.pop(table, None)
        self._answer_waiting(table)
        if not self.is_reader:
            now_ms = self._context.clock.now_ms()
            self._resting.clear()
            self._store_due_ms = now_ms + STORE_RETRY_MS

    # As a host that asks another.

    def _reader(self):
        """Return the host to ask, or None to ask the store."""
        now_ms = self._context.clock.now_ms()
        resting = self._resting.items()
        self._resting = {host: until for host, until in resting if until > now_ms}
        own, members = self._context.fleet.stable_members()
        return reader_for(members, own, self._resting)

    @property
    def is_reader(self):
        """Whether this host reads the store itself."""
        own, members = self._context.fleet.stable_members()
        return reader_for(members, own) is None

    async def _relayed_reading(self, table, since_version, wait_ms):
        """Return a reader's answer, or None where the store has to be asked."""
        while table in self._relayed:
            reader = self._reader()
            if reader is None:
                self._check_due()
                return None
            reading = await self._reading_of(reader, table, since_version, wait_ms)
            if reading is not None:
                return reading
            # The next one is asked for what it has: a host that is cut off from all
            # of them has to come to the store itself before its proof is too old.
            wait_ms = 0
        return None

    async def _reading_of(self, reader, table, since_version, wait_ms):
        """Return one reader's answer, or None where it has to be left alone."""
        wait_ms = min(wait_ms, RELAYED_WAIT_MS)
        sent_ms = self._context.boot_clock.now_ms()
        answer = await self._ask(reader.address, table, since_version, wait_ms)
        if answer is None or answer.state is FeedState.FAILED:
            now_ms = self._context.clock.now_ms()
            self._resting[reader.address] = now_ms + READER_REST_MS
            _log.info(
                "reader_failed",
                table=table,
                reader=reader.address,
                silent=answer is None,
            )
            return None
        if answer.state is FeedState.HISTORY_GONE:
            raise HistoryGone(f"{reader.address} has no history of {table}")
        rows = tuple(
            StoreRow(key=row.key, value=row.value, version=row.version)
            for row in answer.rows
        )
        return Reading(
            rows=rows,
            version=answer.version,
            store_ms=answer.store_ms,
            sent_ms=sent_ms,
            clock_ms=answer.clock_ms,
        )

    def _check_due(self):
        """Leave the store alone for a while where it was out of reach before.

        Harm prevented: in an outage each host of a large fleet asks the store several
        times a second, and its return is met by all of them at once.

        Raises
        ======
        PlatformError
        """
        if self._resting and self._context.clock.now_ms() < self._store_due_ms:
            self._resting.clear()
            raise PlatformError("the readers have lost the store too")

    async def _ask(self, address, table, since_version, wait_ms):
        number = next(self._numbers)
        future = asyncio.get_running_loop().create_future()
        self._asked[number] = future
        question = FeedQuestion(
            number=number, table=table, since_version=since_version, wait_ms=wait_ms
        )
        self._context.bus.send(address, question)
        try:
            async with asyncio.timeout((wait_ms + ANSWER_SLACK_MS) / MS_PER_S):
                return await future
        except TimeoutError:
            self._context.bus.reconnect(address)
            return None
        finally:
            del self._asked[number]

    def on_answer(self, message):
        """Take a reader's answer; one that nobody waits for any more is dropped."""
        future = self._asked.get(message.number)
        if future is not None and not future.done():
            future.set_result(message)

    # As a host that others ask.

    def on_query(self, sender, message):
        """Answer at once where there is news, else at the next reading."""
        copy = self._copies.get(message.table)
        if copy is None or not self._is_sound():
            self._fail(sender, message)
            return
        since = message.since_version
        if since is None or copy.version > since or not message.wait_ms:
            self._send_news(sender, message, copy)
            return
        waiting = self._waiting.setdefault(message.table, {})
        timer = asyncio.get_running_loop().call_later(
            message.wait_ms / MS_PER_S, self._answer_one, sender, message
        )
        waiting[sender, message.number] = (message, timer)

    def _is_sound(self):
        """Return whether this host's copies are those of the store."""
        if not self.is_reader:
            return False
        age_ms = self._context.store_view.proof_age_ms()
        return age_ms is not None and age_ms < MAX_READER_PROOF_MS

    def _answer_waiting(self, table):
        for sender, number in list(self._waiting.get(table, ())):
            self._answer_one(sender, self._waiting[table][sender, number][0])

    def _answer_one(self, sender, message):
        waiting = self._waiting.get(message.table, {})
        entry = waiting.pop((sender, message.number), None)
        if entry is None:
            return
        entry[1].cancel()
        copy = self._copies.get(message.table)
        if copy is None or not self._is_sound():
            self._fail(sender, message)
        else:
            self._send_news(sender, message, copy)

    def _fail(self, sender, message):
        answer = FeedAnswer(number=message.number, state=FeedState.FAILED)
        self._context.bus.send(sender, answer)

    def _send_news(self, sender, message, copy):
        rows = copy.changes(message.since_version)
        if rows is None:
            answer = FeedAnswer(number=message.number, state=FeedState.HISTORY_GONE)
        else:
            answer = FeedAnswer(
                number=message.number,
                rows=tuple(
                    FeedRow(key=row.key, value=row.value, version=row.version)
                    for row in rows
                ),
                version=copy.version,
                store_ms=copy.store_ms,
                clock_ms=self._context.store_view.store_now_ms(),
            )
        self._context.bus.send(sender, answer)
