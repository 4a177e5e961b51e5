"""Reading of the routes from any host that is known to have newer ones."""

import asyncio

from hemlockhoist.base import MS_PER_S, get_logger
from hemlockhoist.base.metrics_table import STORE_CHANGES
from hemlockhoist.entry.row_packer import read_answer
from hemlockhoist.messages import FeedState, StoreNews

_log = get_logger("entry.feeds")

# Time for a change to arrive by the usual way: readers relay it within some tens of
# milliseconds.
GRACE_MS = 150
# A host whose reading of the routes is older than another's by this much asks that one.
# Readings that are relayed each second differ by less.
MAX_PROOF_LAG_MS = 2_000
# Time after which another host is asked beside one that has not answered. The rows of a
# large configuration take that long on a slow link.
NEXT_HOST_MS = 400
MAX_ASKED = 3
# Label of a metric for changes that came this way.
BY_OTHER_HOST = "other host"


class CatchUp:
    """Reads the routes from a host that tells that it knows more.

    Failure prevented: the store rejects this host and its readers, or a call hangs, and
    this host keeps old routes although hosts beside it have newer ones.

    Load prevented: each message may tell of a change. One host is asked, and another
    one only if that one takes long.

    Parameters
    ==========
    context : EntryContext
    copies : dict
        Maps table to ``TableCopy``.
    queries : FeedQueries
    update_copy : callable
        ``update_copy(table, reading, since_version)`` is called with each reading that
        was applied.
    """

    __slots__ = (
        "_behind_since_ms",
        "_context",
        "_copies",
        "_newest_version",
        "_offer",
        "_queries",
        "_started_ms",
        "_tasks",
        "_update_copy",
    )

    def __init__(self, context, copies, queries, update_copy):
        self._context = context
        self._copies = copies
        self._queries = queries
        self._update_copy = update_copy
        self._offer = lambda reading, since_version: False
        # The readings in progress, by the host that is asked, and when the last began.
        self._tasks = {}
        self._started_ms = 0
        # The newest change that another host has told of, and since when this host has
        # known of one that it lacks.
        self._newest_version = 0
        self._behind_since_ms = 0

    async def close(self):
        """Stop reading."""
        tasks = list(self._tasks.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def set_offer(self, offer):
        """Set the handler of readings, see ``FeedStore.set_offer``."""
        self._offer = offer

    @property
    def _table(self):
        return self._context.platform.config_table

    def news(self):
        """Return what this host tells the others, or None before its first reading."""
        copy = self._copies.get(self._table)
        if copy is None:
            return None
        return StoreNews(changed_version=copy.changed_version, read_ms=copy.store_ms)

    def on_news(self, sender, news):
        """Handle what another host knows."""
        if news.changed_version > self._newest_version:
            self._record_newest(news.changed_version)
        if self._may_ask(sender) and self._is_behind(news):
            self._started_ms = self._context.clock.now_ms()
            task = asyncio.create_task(self._run(sender, news))
            self._tasks[sender] = task
            task.add_done_callback(lambda task: self._tasks.pop(sender, None))

    def _may_ask(self, sender):
        """Return whether one more host is asked now."""
        if sender in self._tasks or len(self._tasks) >= MAX_ASKED:
            return False
        waited_ms = self._context.clock.now_ms() - self._started_ms
        return not self._tasks or waited_ms >= NEXT_HOST_MS

    def _record_newest(self, version):
        if not self.behind_ms():
            self._behind_since_ms = self._context.clock.now_ms()
        self._newest_version = version

    def behind_ms(self):
        """Return for how long this host has known of a change that it lacks, or 0."""
        copy = self._copies.get(self._table)
        if copy is None or copy.version >= self._newest_version:
            return 0
        return max(1, self._context.clock.now_ms() - self._behind_since_ms)

    def _is_behind(self, news):
        """Return whether another host has changes, or a proof, that this one lacks."""
        copy = self._copies.get(self._table)
        if copy is None:
            return True
        has_change = news.changed_version > copy.version
        return has_change or news.read_ms - copy.store_ms > MAX_PROOF_LAG_MS

    async def _run(self, sender, news):
        await asyncio.sleep(GRACE_MS / MS_PER_S)
        if not self._is_behind(news):
            return
        copy = self._copies.get(self._table)
        _log.info(
            "routes_behind",
            host=sender,
            version=copy.version if copy else None,
            newest=news.changed_version,
            read_ms_later=news.read_ms - copy.store_ms if copy else None,
        )
        await self._read_from(sender, copy.version if copy else None)

    async def _read_from(self, address, since_version):
        """Read the changes from a host, or all rows if it has not got their history.

        A host that has started lately does not know what was deleted before.
        """
        if await self._ask(address, since_version) is FeedState.HISTORY_GONE:
            await self._ask(address, None)

    async def _ask(self, address, since_version):
        """Ask a host and apply its answer; return the answer's state, or None."""
        for unpacks in (True, False):
            sent_ms = self._context.boot_clock.now_ms()
            answer = await self._queries.send(
                address, self._table, since_version, 0, unpacks
            )
            if answer is None:
                return None
            if self._apply(address, since_version, answer, sent_ms):
                return answer.state
        return None

    def on_late_answer(self, query, answer):
        """Use an answer whose query was given up: its rows are as true as any."""
        if query.table == self._table and query.since_version is not None:
            self._apply(query.address, query.since_version, answer, query.sent_ms)

    def _apply(self, address, since_version, answer, sent_ms):
        """Apply an answer; return False if its rows cannot be unpacked."""
        if answer.state is not FeedState.OK:
            return True
        copy = self._copies.get(self._table)
        reading = read_answer(answer, address, copy, sent_ms)
        if reading is None:
            return False
        if self._offer(reading, since_version):
            self._update_copy(self._table, reading, since_version)
            if reading.rows:
                self._context.metrics.count(STORE_CHANGES, BY_OTHER_HOST)
                _log.info("caught_up", host=address, version=reading.version)
        return True
