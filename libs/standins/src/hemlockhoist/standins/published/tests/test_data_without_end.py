import asyncio
import time
import unittest

import aiohttp

from hemlockhoist.standins.published import (
    ENDLESS_DATA,
    Behaviour,
    Replica,
    Site,
    route,
)

LOOKUP = route("check-free", "reservas")
BOOKING = route("book-hall", "reservas", "non_idempotent", max_attempts=1)
REPORT = route("conflict-report", "asistente", "streaming", resumable=True)
SUMMARY = route("access-summary", "asistente", "streaming", max_attempts=1)
# Well before the deadline of the routes, which is 2 s.
MAX_S = 1.2
CLOSED_WITHIN_S = 0.5
IN_EVENTS = (
    Behaviour.NO_EVENTS_WITHOUT_END,
    Behaviour.EVENT_WITHOUT_END,
    Behaviour.TRICKLED_EVENT_WITHOUT_END,
)
# A plain body that has no event in it is as good as any other.
NOT_IN_A_BODY = (*IN_EVENTS, Behaviour.DATA_AFTER_ANSWER_WITHOUT_END)
ENDLESS_BODIES = tuple(item for item in ENDLESS_DATA if item not in NOT_IN_A_BODY)


class EndlessCase(unittest.IsolatedAsyncioTestCase):
    """Runs a site whose first upstream sends data without end."""

    async def check_closed(self, site, bad):
        """Check that the connection was closed, and that no memory is accounted."""
        async with asyncio.timeout(CLOSED_WITHIN_S):
            while bad.open_count:
                await asyncio.sleep(0.01)
        self.assertEqual(site.hosts[0].context.memory.budget.used_bytes, 0)


class PlainCallTests(EndlessCase):
    async def send(self, route_, behaviour, path, is_unframed=False, **call):
        bad = Replica("bad")
        bad.behaviour, bad.is_unframed = behaviour, is_unframed
        replicas = {"reservas": [bad, Replica("good")]}
        async with Site(replicas, [route_]) as site:
            begin_s = time.monotonic()
            async with site.call(path, **call) as answer:
                body = await answer.read()
                self.assertLess(time.monotonic() - begin_s, MAX_S)
            await self.check_closed(site, bad)
        return answer.status, body, replicas["reservas"]

    async def test_lookup_is_answered_by_another_upstream(self):
        """Guards against a request that a faulty upstream holds until its deadline."""
        for behaviour in ENDLESS_BODIES:
            with self.subTest(behaviour=behaviour):
                status, body, replicas = await self.send(
                    LOOKUP, behaviour, "/check-free/1"
                )
                self.assertEqual(status, 200)
                self.assertIn(b"good", body)
                self.assertEqual(len(replicas[0].ran), 1)

    async def test_unframed_body_is_bounded(self):
        """Guards against a body that ends with its connection, and never does."""
        status, body, _ = await self.send(
            LOOKUP, Behaviour.BODY_WITHOUT_END, "/check-free/1", is_unframed=True
        )
        self.assertEqual((status, b"good" in body), (200, True))

    async def test_outcome_of_a_booking_is_unknown(self):
        """Guards against a booking that runs twice, or is reported as not run."""
        for behaviour in ENDLESS_BODIES:
            with self.subTest(behaviour=behaviour):
                status, _, replicas = await self.send(
                    BOOKING, behaviour, "/book-hall/1", method="POST", body=b"hall 7"
                )
                self.assertEqual(status, 502)
                self.assertEqual(sum(len(item.ran) for item in replicas), 1)

    async def test_data_after_a_whole_answer_is_not_read(self):
        """Guards against a connection that is held by data behind the end of an answer.

        The answer is served if its end arrives first. The HTTP library drops it if
        data that is no response arrives together with its end.
        """
        behaviour = Behaviour.DATA_AFTER_ANSWER_WITHOUT_END
        status, body, replicas = await self.send(BOOKING, behaviour, "/book-hall/1")
        self.assertIn((status, b"bad" in body), [(200, True), (502, False)])
        self.assertEqual(sum(len(item.ran) for item in replicas), 1)
        status, _, _ = await self.send(LOOKUP, behaviour, "/check-free/1")
        self.assertEqual(status, 200)


class StreamTests(EndlessCase):
    async def send(self, route_, behaviour, is_unframed=False):
        bad, good = Replica("bad", events=6), Replica("good", events=6)
        bad.behaviour, bad.is_unframed = behaviour, is_unframed
        replicas = {"asistente": [bad, good]}
        async with Site(replicas, [route_]) as site:
            path = f"/{route_['name']}/1"
            body, is_whole = b"", True
            try:
                async with site.call(path, method="POST", body=b"x") as answer:
                    async for chunk in answer.content.iter_any():
                        body += chunk
            except aiohttp.ClientPayloadError:
                is_whole = False
            await self.check_closed(site, bad)
        return answer.status, body, is_whole

    async def test_stream_is_continued_by_another_upstream(self):
        """Guards against a stream that is lost or mixed up with bytes of no event."""
        for behaviour in (*IN_EVENTS, Behaviour.CHUNK_EXTENSION_WITHOUT_END):
            for is_unframed in (False, True):
                if is_unframed and behaviour not in IN_EVENTS:
                    continue
                with self.subTest(behaviour=behaviour, is_unframed=is_unframed):
                    result = await self.send(
                        {**REPORT, "timeout_ms": 6_000}, behaviour, is_unframed
                    )
                    status, body, is_whole = result
                    self.assertEqual((status, is_whole), (200, True))
                    self.assertEqual(body.count(b"id:"), 6)

    async def test_stream_that_may_not_be_resumed_ends_visibly_broken(self):
        """Guards against a broken stream that looks complete."""
        for behaviour in IN_EVENTS:
            with self.subTest(behaviour=behaviour):
                status, body, is_whole = await self.send(SUMMARY, behaviour)
                self.assertEqual((status, is_whole), (200, False))
                self.assertEqual(body, b"id: 1\ndata: piece 1\n\n")

    async def test_head_without_end_before_a_stream(self):
        """Guards against a stream that never begins as a head never ends."""
        for behaviour in ENDLESS_DATA:
            if "HEAD" not in behaviour.name:
                continue
            with self.subTest(behaviour=behaviour):
                status, body, is_whole = await self.send(REPORT, behaviour)
                self.assertEqual((status, is_whole), (200, True))
                self.assertEqual(body.count(b"id:"), 6)
