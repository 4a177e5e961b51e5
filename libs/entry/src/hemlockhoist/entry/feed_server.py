"""Answers to the hosts that read the store's tables through this one."""

import asyncio

from hemlockhoist.base import MS_PER_S
from hemlockhoist.entry.row_packer import RowPacker
from hemlockhoist.messages import FeedAnswer, FeedState

# A reader whose newest proof of the routes is older than this, and than two answers of
# the store take, has lost the store, or is about to detect it: the proof is renewed each
# second.
MAX_READER_PROOF_AGE_MS = 1_700


class FeedServer:
    """Answers other hosts' queries from this host's copies of the tables.

    Parameters
    ==========
    context : EntryContext
    copies : dict
        Maps table to ``TableCopy``; updated by its owner.
    reads_store : callable
        Returns whether this host reads the store itself, and has not lost it.
    answer_ms : callable, optional
        Returns how long the store has recently taken for an answer to this host.

    Attributes
    ==========
    lost_tables : set of str
        Tables of which the latest call to the store failed.
    """

    __slots__ = (
        "_answer_ms",
        "_context",
        "_copies",
        "_packer",
        "_reads_store",
        "_waiting_queries",
        "lost_tables",
    )

    def __init__(self, context, copies, reads_store, answer_ms=lambda: 0):
        self._answer_ms = answer_ms
        self._context = context
        self._copies = copies
        self._reads_store = reads_store
        self.lost_tables = set()
        self._packer = RowPacker()
        self._waiting_queries = {}

    def on_query(self, sender, message):
        """Answer at once if there are changes, else after a reading or a timeout.

        Load prevented: the store is slow, and all hosts that read through this one take
        it for lost and read the store themselves.
        """
        if not message.wait_ms or self._is_answerable(message):
            self._answer(sender, message)
            return
        waiting = self._waiting_queries.setdefault(message.table, {})
        timer = asyncio.get_running_loop().call_later(
            message.wait_ms / MS_PER_S, self._answer_query, sender, message
        )
        waiting[sender, message.number] = (message, timer)

    def _is_answerable(self, message):
        """Return whether there is no use in waiting for this host's next reading."""
        copy, since = self._copies.get(message.table), message.since_version
        if copy is None or not self._is_current(message.table):
            has_news = copy is not None and self._is_news(copy, message)
            return has_news or message.table in self.lost_tables
        return since is None or copy.version > since

    def _is_current(self, table):
        """Return whether this host's copy of a table is current with the store.

        Each host has the routes; of other tables only those that read the store have a
        current copy.
        """
        is_kept = table == self._context.platform.config_table or self._reads_store()
        if table not in self._copies or table in self.lost_tables or not is_kept:
            return False
        age_ms = self._context.store_view.proof_age_ms()
        limit_ms = MAX_READER_PROOF_AGE_MS + 2 * self._answer_ms()
        return age_ms is not None and age_ms < limit_ms

    def answer_waiting_queries(self, table):
        """Answer the queries that wait for a change of a table."""
        for sender, number in list(self._waiting_queries.get(table, ())):
            self._answer_query(sender, self._waiting_queries[table][sender, number][0])

    def _answer_query(self, sender, message):
        waiting = self._waiting_queries.get(message.table, {})
        entry = waiting.pop((sender, message.number), None)
        if entry is None:
            return
        entry[1].cancel()
        self._answer(sender, message)

    def _answer(self, sender, message):
        """Send what this host has, unless it is neither new to the sender nor current."""
        copy = self._copies.get(message.table)
        is_known = copy is not None and self._is_news(copy, message)
        if is_known or self._is_current(message.table):
            self._send_changes(sender, message, copy)
        else:
            self._send_failure(sender, message)

    def _is_news(self, copy, message):
        """Return whether a copy has rows that the sender of a query may lack.

        They are true, however long ago they were read; the answer says how long, for
        which this host has to know the store's clock.
        """
        if self._context.store_view.proof_age_ms() is None:
            return False
        if message.since_version is None:
            return message.table == self._context.platform.config_table
        return copy.changed_version > message.since_version

    def _send_failure(self, sender, message):
        answer = FeedAnswer(
            number=message.number,
            state=FeedState.FAILED,
            is_reading=self._reads_store() and message.table not in self.lost_tables,
            answer_ms=self._answer_ms(),
        )
        self._context.bus.send(sender, answer)

    def _send_changes(self, sender, message, copy):
        rows = copy.changes(message.since_version)
        if rows is None:
            answer = FeedAnswer(number=message.number, state=FeedState.HISTORY_GONE)
        else:
            answer = FeedAnswer(
                number=message.number,
                rows=tuple(self._packer.wire_row(row, copy, message) for row in rows),
                version=copy.version,
                store_ms=copy.store_ms,
                clock_ms=self._context.store_view.store_now_ms(),
            )
        self._context.bus.send(sender, answer)
