"""Queries to the hosts that relay the store's tables, and their answers."""

import asyncio
import collections
import itertools

import msgspec

from hemlockhoist.base import MS_PER_S, get_logger
from hemlockhoist.messages import FeedQuestion

_log = get_logger("entry.feeds")

# Transit time allowed for a query on top of its wait: twice what the last answers of the
# host took, within these bounds. A host that does not answer has to be noticed in time
# to learn elsewhere that an upstream leaves.
MIN_TRANSIT_MS = 300
MAX_TRANSIT_MS = 1_000
# Number of queries whose late answers are still recognised.
MAX_GIVEN_UP = 64


class SentQuery(msgspec.Struct, frozen=True, kw_only=True):
    """A query as its sender remembers it.

    Parameters
    ==========
    address : str
        The host that was asked.
    table : str
    since_version : int or None
    wait_ms : int
    sent_ms : int
        When it was sent, on the clock that includes suspensions.
    """

    address: str
    table: str
    since_version: int | None
    wait_ms: int
    sent_ms: int


class FeedQueries:
    """Sends queries to other hosts and awaits their answers.

    Parameters
    ==========
    context : EntryContext
    on_late : callable
        ``on_late(query, message)`` is called with a ``SentQuery`` and its answer when
        the answer comes after the query was given up.
    """

    __slots__ = (
        "_context",
        "_given_up",
        "_numbers",
        "_on_late",
        "_pending",
        "_transit_ms",
    )

    def __init__(self, context, on_late):
        self._context = context
        self._on_late = on_late
        self._numbers = itertools.count(1)
        self._pending = {}
        self._given_up = collections.OrderedDict()
        # How long recent answers took beyond the wait of their queries, by address.
        self._transit_ms = {}

    async def send(self, address, table, since_version, wait_ms, unpacks=True):
        """Return a host's ``FeedAnswer``, or None if it did not answer in time."""
        number = next(self._numbers)
        future = asyncio.get_running_loop().create_future()
        self._pending[number] = future
        sent = SentQuery(
            address=address,
            table=table,
            since_version=since_version,
            wait_ms=wait_ms,
            sent_ms=self._context.boot_clock.now_ms(),
        )
        query = FeedQuestion(
            number=number,
            table=table,
            since_version=since_version,
            wait_ms=wait_ms,
            unpacks=unpacks,
        )
        self._context.bus.send(address, query)
        limit_ms = wait_ms + self._allowance_ms(address)
        try:
            async with asyncio.timeout(limit_ms / MS_PER_S):
                answer = await future
            self._record_transit(sent)
            return answer
        except TimeoutError:
            self._give_up(number, sent)
            self._context.bus.reconnect(address)
            return None
        finally:
            del self._pending[number]

    def _allowance_ms(self, address):
        """Return how long an answer may take beyond the wait of its query.

        Load prevented: a link is full for a moment, its queries are given up one after
        the other, and the same rows are asked for elsewhere.
        """
        expected_ms = 2 * self._transit_ms.get(address, 0)
        return min(MAX_TRANSIT_MS, max(MIN_TRANSIT_MS, expected_ms))

    def _record_transit(self, query):
        elapsed_ms = self._context.boot_clock.now_ms() - query.sent_ms
        # A query that waits may be answered early.
        transit_ms = max(0, elapsed_ms - query.wait_ms)
        known_ms = self._transit_ms.get(query.address, 0)
        self._transit_ms[query.address] = max(transit_ms, known_ms // 2)

    def tell(self, address, table, version):
        """Announce a change, which the news in the message's envelope tell of too."""
        query = FeedQuestion(
            number=next(self._numbers),
            table=table,
            since_version=version,
            wait_ms=0,
            is_announcement=True,
        )
        self._context.bus.send(address, query)

    def _give_up(self, number, query):
        self._given_up[number] = query
        while len(self._given_up) > MAX_GIVEN_UP:
            self._given_up.popitem(last=False)

    def on_answer(self, message):
        """Handle the answer to a query."""
        future = self._pending.get(message.number)
        if future is not None and not future.done():
            future.set_result(message)
            return
        query = self._given_up.pop(message.number, None)
        if query is not None:
            self._record_transit(query)
            self._log_late(query, message)
            self._on_late(query, message)

    def _log_late(self, query, message):
        _log.info(
            "reader_answer_late",
            table=query.table,
            reader=query.address,
            after_ms=self._context.boot_clock.now_ms() - query.sent_ms,
            rows=len(message.rows),
            row_bytes=sum(len(row.value or b"") for row in message.rows),
        )
