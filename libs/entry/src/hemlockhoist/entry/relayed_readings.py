"""Readings of the store's tables that another host relays to this one."""

import random

from hemlockhoist.base import get_logger
from hemlockhoist.base.metrics_table import STORE_CHANGES
from hemlockhoist.entry.row_packer import read_answer
from hemlockhoist.messages import FeedState
from hemlockhoist.store import HistoryGone

_log = get_logger("entry.feeds")

# Longest wait of a query. A response without changes is sent after this time, so that
# a frozen or disconnected reader is detected by its silence, early enough for this host
# to learn from the store itself in time that an upstream leaves.
RELAYED_WAIT_MS = 1_000
# Wait of a query to a reader that is waiting for the store; then the others are queried
# again, as one of them may have been answered.
ROUND_WAIT_MS = 400
# A host waits for a reader that reads, unless its proof of the routes is older than this
# and than one answer of the store more. Hosts differ by up to the second value, so that
# a few of them find out whether the store serves others than the readers, and tell.
MIN_PATIENCE_MS = 2_600
PATIENCE_SPREAD_MS = 1_000
# A host that starts has no rows to serve callers with. It waits for as long as a reader
# may need for an answer of the store and for its bytes.
START_PATIENCE_MS = 500
MAX_START_PATIENCE_MS = 4_500
# Label of a metric for changes that came this way.
BY_READER = "reader"


class RelayedReadings:
    """Queries the hosts that read the store, one after the other.

    Parameters
    ==========
    context : EntryContext
    copies : dict
        Maps table to ``TableCopy``.
    queries : FeedQueries
    choice : ReaderChoice
    update_copy : callable
        ``update_copy(table, reading, since_version)`` is called with each reading.
    """

    __slots__ = (
        "_choice",
        "_context",
        "_copies",
        "_patience_ms",
        "_queries",
        "_update_copy",
        "_waiting",
    )

    def __init__(self, context, copies, queries, choice, update_copy):
        self._context = context
        self._copies = copies
        self._queries = queries
        self._choice = choice
        self._update_copy = update_copy
        self._patience_ms = None
        # Tables for whose next reading a reader is waited for.
        self._waiting = set()

    async def read(self, table, since_version, wait_ms, avoids_own):
        """Return a ``Reading``, or None if no reader has one or will soon have one.

        Load prevented: a reader is waiting for the store, and all hosts that read
        through it call the store too.

        Parameters
        ==========
        table : str
        since_version : int or None
            None requests all rows.
        wait_ms : int
            How long the first reader may wait for a change.
        avoids_own : bool
            Whether to query another host though this one is a reader.

        Raises
        ======
        HistoryGone
            If readers answered, but know no changes since that version.
        """
        begun_ms = self._context.clock.now_ms()
        while True:
            round_ = _Round(table, since_version, avoids_own)
            reading = await self._query_all(round_, wait_ms)
            if reading is not None:
                return reading
            if round_.is_history_gone:
                raise HistoryGone(f"no reader knows the changes of {table}")
            if not round_.waiting_reader or not self._is_patient(round_, begun_ms):
                return None
            self._log_waiting(table, round_.waiting_reader)
            wait_ms = ROUND_WAIT_MS

    def _log_waiting(self, table, reader):
        """Log once for which reader this host waits, until it has a reading again."""
        if table not in self._waiting:
            self._waiting.add(table)
            age_ms = self._context.store_view.proof_age_ms()
            _log.info(
                "waits_for_reader", table=table, reader=reader, proof_age_ms=age_ms
            )

    async def _query_all(self, round_, wait_ms):
        """Return the reading of the first reader that has one, or None."""
        while True:
            reader = self._choice.choose(round_.passed, round_.avoids_own)
            if reader is None:
                return None
            reading = await self._query(reader, round_, wait_ms)
            if reading is not None:
                return reading
            round_.passed.add(reader.address)
            # The next reader is queried without a wait: a host that is cut off from all
            # readers has to read the store itself before its proof is too old. A deputy
            # may have to find out first that the readers have failed.
            has_reader = self._choice.has_reader(round_.avoids_own)
            wait_ms = 0 if has_reader else ROUND_WAIT_MS

    def _is_patient(self, round_, begun_ms):
        """Return whether this host can wait for a reader's next reading."""
        age_ms = self._context.store_view.proof_age_ms()
        if age_ms is None:
            waited_ms = self._context.clock.now_ms() - begun_ms
            limit_ms = START_PATIENCE_MS + 2 * round_.answer_ms
            return waited_ms < min(limit_ms, MAX_START_PATIENCE_MS)
        if self._patience_ms is None:
            share = random.Random(self._context.identity.host_id).random()
            self._patience_ms = MIN_PATIENCE_MS + share * PATIENCE_SPREAD_MS
        return age_ms < self._patience_ms + round_.answer_ms

    async def _query(self, reader, round_, wait_ms, unpacks=True):
        """Return the reading of one reader, or None if it has none."""
        table, since_version = round_.table, round_.since_version
        wait_ms = min(wait_ms, RELAYED_WAIT_MS)
        sent_ms = self._context.boot_clock.now_ms()
        answer = await self._queries.send(
            reader.address, table, since_version, wait_ms, unpacks
        )
        if answer is None or answer.state is FeedState.FAILED:
            self._on_failure(reader, round_, answer)
            return None
        if answer.state is FeedState.HISTORY_GONE:
            round_.is_history_gone = True
            return None
        reading = read_answer(answer, reader.address, self._copies.get(table), sent_ms)
        if reading is None and unpacks:
            return await self._query(reader, round_, 0, unpacks=False)
        if reading is None:
            self._skip(reader, table, is_silent=False)
            return None
        self._waiting.discard(table)
        self._update_copy(table, reading, since_version)
        if table == self._context.platform.config_table and reading.rows:
            self._context.metrics.count(STORE_CHANGES, BY_READER)
        return reading

    def _on_failure(self, reader, round_, answer):
        if answer is not None and answer.is_reading:
            round_.waiting_reader = round_.waiting_reader or reader.address
            round_.answer_ms = max(round_.answer_ms, answer.answer_ms)
        else:
            self._skip(reader, round_.table, is_silent=answer is None)

    def _skip(self, reader, table, is_silent):
        self._choice.skip(reader.address)
        _log.info(
            "reader_failed", table=table, reader=reader.address, timed_out=is_silent
        )


class _Round:
    """One query to each reader, until one has a reading.

    Attributes
    ==========
    passed : set of str
        Addresses of the readers that had none.
    waiting_reader : str
        Address of the first one that is waiting for the store; empty for none.
    answer_ms : int
        How long the store has recently taken for an answer to such a reader.
    is_history_gone : bool
        Whether a reader did not know the changes since the requested version.
    """

    __slots__ = (
        "answer_ms",
        "avoids_own",
        "is_history_gone",
        "passed",
        "since_version",
        "table",
        "waiting_reader",
    )

    def __init__(self, table, since_version, avoids_own):
        self.table = table
        self.since_version = since_version
        self.avoids_own = avoids_own
        self.passed = set()
        self.waiting_reader = ""
        self.answer_ms = 0
        self.is_history_gone = False
