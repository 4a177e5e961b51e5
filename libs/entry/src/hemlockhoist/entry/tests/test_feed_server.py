import asyncio
import types
import unittest

from hemlockhoist.base.testing import PausedTestCase
from hemlockhoist.decisions.entry import TableCopy
from hemlockhoist.entry.feed_server import FeedServer
from hemlockhoist.messages import FeedQuestion, FeedState
from hemlockhoist.store import Reading, StoreRow

TABLE = "op"


class FeedServerTests(unittest.TestCase):
    def setUp(self):
        self.sent = []
        self.proof_age_ms = None
        copy = TableCopy()
        row = StoreRow(key="config", value=b"v7", version=7)
        copy.replace(Reading(rows=(row,), version=9, store_ms=500, sent_ms=0))
        context = types.SimpleNamespace(
            platform=types.SimpleNamespace(config_table=TABLE),
            bus=types.SimpleNamespace(
                send=lambda address, message: self.sent.append(message)
            ),
            store_view=types.SimpleNamespace(
                proof_age_ms=lambda: self.proof_age_ms, store_now_ms=lambda: 600
            ),
        )
        self.server = FeedServer(context, {TABLE: copy, "servers": copy}, lambda: False)

    def state_of(self, since_version, table=TABLE):
        query = FeedQuestion(
            number=1, table=table, since_version=since_version, wait_ms=0
        )
        self.server.on_query("h2", query)
        return self.sent.pop().state

    def test_host_without_the_store_gives_the_rows_that_another_lacks(self):
        self.proof_age_ms = 60_000
        self.assertEqual(self.state_of(None), FeedState.OK)
        self.assertEqual(self.state_of(6), FeedState.HISTORY_GONE)
        self.assertEqual(self.state_of(9), FeedState.FAILED)

    def test_host_that_does_not_know_the_store_s_clock_gives_nothing(self):
        """Guards against a proof of the routes that never grows old."""
        self.assertEqual(self.state_of(None), FeedState.FAILED)
        self.assertEqual(self.state_of(6), FeedState.FAILED)

    def test_old_list_of_upstreams_is_not_given_for_a_current_one(self):
        self.proof_age_ms = 100
        self.assertEqual(self.state_of(9), FeedState.OK)
        self.assertEqual(self.state_of(9, "servers"), FeedState.FAILED)
        self.assertEqual(self.state_of(None, "servers"), FeedState.FAILED)


class WaitingReaderTests(PausedTestCase):
    """A reader whose last proof is old, since the store has not answered yet."""

    async def asyncSetUp(self):
        self.sent = []
        self.proof_age_ms = 3_000
        self.answer_ms = 0
        self.copy = TableCopy()
        self.copy.replace(Reading(rows=(), version=9, store_ms=500, sent_ms=0))
        context = types.SimpleNamespace(
            platform=types.SimpleNamespace(config_table=TABLE),
            bus=types.SimpleNamespace(
                send=lambda address, message: self.sent.append(message)
            ),
            store_view=types.SimpleNamespace(
                proof_age_ms=lambda: self.proof_age_ms, store_now_ms=lambda: 600
            ),
        )
        self.server = FeedServer(
            context, {TABLE: self.copy}, lambda: True, lambda: self.answer_ms
        )

    def ask(self, wait_ms, since_version=9):
        query = FeedQuestion(
            number=1, table=TABLE, since_version=since_version, wait_ms=wait_ms
        )
        self.server.on_query("h2", query)

    async def test_waiting_reader_says_so(self):
        """Guards against hosts that take a reader of a slow store for failed."""
        self.ask(wait_ms=0)
        answer = self.sent.pop()
        self.assertEqual(answer.state, FeedState.FAILED)
        self.assertTrue(answer.is_reading)

    async def test_queries_wait_for_its_next_reading(self):
        for since_version in (9, 9):
            self.ask(wait_ms=400, since_version=since_version)
            await asyncio.sleep(0.2)
            self.assertEqual(self.sent, [])
            self.proof_age_ms = 0
            self.copy.apply(Reading(rows=(), version=12, store_ms=700, sent_ms=0))
            self.server.answer_waiting_queries(TABLE)
            self.assertEqual(self.sent.pop().version, 12)
            self.proof_age_ms = 3_000

    async def test_query_is_answered_after_its_wait(self):
        self.ask(wait_ms=400)
        await asyncio.sleep(0.5)
        self.assertTrue(self.sent.pop().is_reading)

    async def test_proof_is_current_for_as_long_as_the_store_takes(self):
        self.answer_ms = 1_000
        self.ask(wait_ms=0)
        answer = self.sent.pop()
        self.assertEqual((answer.state, answer.store_ms), (FeedState.OK, 500))
