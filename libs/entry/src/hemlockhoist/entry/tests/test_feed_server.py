import types
import unittest

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
