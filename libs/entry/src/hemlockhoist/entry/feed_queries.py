"""Queries to the hosts that relay the store's tables, and their answers."""

import asyncio
import collections
import itertools

import msgspec

from hemlockhoist.base import MS_PER_S, get_logger
from hemlockhoist.messages import FeedQuestion

_log = get_logger("entry.feeds")

# Transit time allowed for a query on top of its wait.
TRANSIT_ALLOWANCE_MS = 300
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
    sent_ms : int
        When it was sent, on the clock that includes suspensions.
    """

    address: str
    table: str
    since_version: int | None
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

    __slots__ = ("_context", "_given_up", "_numbers", "_on_late", "_pending")

    def __init__(self, context, on_late):
        self._context = context
        self._on_late = on_late
        self._numbers = itertools.count(1)
        self._pending = {}
        self._given_up = collections.OrderedDict()

    async def send(self, address, table, since_version, wait_ms, unpacks=True):
        """Return a host's ``FeedAnswer``, or None if it did not answer in time."""
        number = next(self._numbers)
        future = asyncio.get_running_loop().create_future()
        self._pending[number] = future
        sent = SentQuery(
            address=address,
            table=table,
            since_version=since_version,
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
        try:
            async with asyncio.timeout((wait_ms + TRANSIT_ALLOWANCE_MS) / MS_PER_S):
                return await future
        except TimeoutError:
            self._give_up(number, sent)
            self._context.bus.reconnect(address)
            return None
        finally:
            del self._pending[number]

    def tell(self, address, table, version):
        """Send a query whose answer is not awaited, for the news in its envelope."""
        query = FeedQuestion(
            number=next(self._numbers), table=table, since_version=version, wait_ms=0
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
