import asyncio
import types

import structlog

from hemlockhoist.base import Clock
from hemlockhoist.base.testing import PausedTestCase
from hemlockhoist.entry.feed_queries import FeedQueries
from hemlockhoist.messages import FeedAnswer, FeedRow


class FeedQueriesTests(PausedTestCase):
    async def asyncSetUp(self):
        self.sent, self.late = [], []
        bus = types.SimpleNamespace(
            send=lambda address, message: self.sent.append(message),
            reconnect=lambda address: None,
        )
        self.queries = FeedQueries(
            types.SimpleNamespace(bus=bus, boot_clock=Clock.from_running_loop()),
            lambda query, message: self.late.append((query.since_version, message)),
        )

    async def test_answer_that_comes_too_late_is_logged(self):
        """Guards against rows that never arrive in time without a trace in any log."""
        with structlog.testing.capture_logs() as events:
            self.assertIsNone(await self.queries.send("h1", "op", 5, 0))
            await asyncio.sleep(0.4)
            row = FeedRow(key="config", value=b"12345", version=6)
            answer = FeedAnswer(number=self.sent[0].number, rows=(row,), version=6)
            self.queries.on_answer(answer)
            self.queries.on_answer(answer)
        self.assertEqual(len(events), 1)
        late = events[0]
        self.assertEqual(late["event"], "reader_answer_late")
        self.assertEqual((late["table"], late["reader"]), ("op", "h1"))
        self.assertEqual((late["rows"], late["row_bytes"]), (1, 5))
        self.assertAlmostEqual(late["after_ms"], 700, delta=2)
        self.assertEqual(self.late, [(5, answer)])

    async def ask(self, address, answer_ms, wait_ms=0):
        """Return whether a query is answered in time, if it is after some time."""
        asking = asyncio.create_task(self.queries.send(address, "op", 5, wait_ms))
        await asyncio.sleep(answer_ms / 1_000)
        self.queries.on_answer(FeedAnswer(number=self.sent[-1].number, version=6))
        return await asking is not None

    async def test_query_is_allowed_as_long_as_the_last_answers_took(self):
        """Guards against rows that are asked for again and again on a full link."""
        self.assertFalse(await self.ask("h1", 400))
        self.assertTrue(await self.ask("h1", 400))
        self.assertTrue(await self.ask("h1", 700))
        self.assertFalse(await self.ask("h1", 1_200))
        # Another host is not given longer for it.
        self.assertFalse(await self.ask("h2", 400))

    async def test_host_that_answers_quickly_again_is_noticed_soon(self):
        await self.ask("h1", 800)
        for _ in range(3):
            await self.ask("h1", 2)
        self.assertFalse(await self.ask("h1", 400))

    async def test_wait_of_a_query_is_no_transit(self):
        self.assertTrue(await self.ask("h1", 1_002, wait_ms=1_000))
        self.assertFalse(await self.ask("h1", 400))
