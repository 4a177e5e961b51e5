"""End-to-end tests of the ends of answers that another host has passed on."""

import asyncio
import unittest
from unittest import mock

from hemlockhoist.relays import RelayServer
from hemlockhoist.standins.published.endless import chunk
from hemlockhoist.standins.published.raw import LAST_CHUNK, RawReplica, call_raw
from hemlockhoist.standins.published.tests.test_answer_ends import (
    BODY,
    CHUNKED,
    EVENTS,
    UNFRAMED,
    event,
    first_number,
    numbers,
)
from hemlockhoist.standins.published.tests.test_relays import CutSite

PART = BODY[:2_000]
LOOKUP, BOOKING = ("/check-free/1", "GET"), ("/book-hall/1", "POST")


class Sender(RawReplica):
    """A replica that closes the first answer of each kind too early.

    Parameters
    ==========
    replica_id : str
    framing : str
        Header lines of a first answer.
    is_whole : bool, optional
        Whether first answers are whole all the same.
    """

    def __init__(self, replica_id, framing=UNFRAMED, is_whole=False):
        super().__init__(replica_id, self.answer, events=EVENTS)
        self.framing = framing
        self.is_whole = is_whole
        self.ends = False
        self.begun = asyncio.Event()
        self.goes_on = asyncio.Event()
        self.goes_on.set()

    async def answer(self, received, writer):
        if "/check-free/learn" in received.target:
            whole = "Content-Length: 2\r\n"
            writer.write(self.head(received, framing=whole) + b"ok")
        elif received.target.startswith(("/report", "/summary")):
            await self._send_stream(received, writer)
        else:
            size = len(BODY) if self.is_whole else len(PART)
            writer.write(self.head(received, framing=self.framing) + BODY[:size])
        await writer.drain()
        self.begun.set()
        await self.goes_on.wait()
        if self.ends and "learn" not in received.target:
            self.stop_listening()

    async def _send_stream(self, received, writer):
        start = first_number(received)
        is_first = start == 1 and "learn" not in received.target
        is_unframed = is_first and self.framing == UNFRAMED
        last = EVENTS // 2 if is_first and not self.is_whole else EVENTS
        framing = UNFRAMED if is_unframed else CHUNKED
        writer.write(self.head(received, framing=framing))
        for number in range(start, last + 1):
            data = event(number)
            writer.write(data if is_unframed else chunk(data))
            await writer.drain()
            await asyncio.sleep(0.002)
        if not is_unframed and last == EVENTS:
            writer.write(LAST_CHUNK)


class RelayedEndTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.services = [Sender("s0"), Sender("s1")]
        self.engines = [Sender("e0"), Sender("e1")]
        replicas = {"reservas": self.services, "asistente": self.engines}
        self.cut = CutSite(hosts=2, replicas=replicas)
        await self.cut.__aenter__()
        self.addAsyncCleanup(self.cut.__aexit__, None, None, None)
        await self.cut.cut()
        for sender in (*self.services, *self.engines):
            sender.begun.clear()

    @property
    def helper(self):
        return self.cut.site.hosts[1].relay_server

    async def call(self, path, method="POST"):
        """Send a request to the host without links; check that the other helps."""
        answer = await call_raw(self.cut.site, path, method=method)
        links = self.cut.site.hosts[0].context.upstreams.links
        self.assertTrue(links.is_pool_lost("reservas"))
        return answer

    async def test_closed_stream_is_continued_to_its_end(self):
        """Guards against a stream that looks complete before its last event."""
        answer = await self.call("/report/1")
        self.assertFalse(answer.is_reset)
        self.assertEqual(numbers(answer), list(range(1, EVENTS + 1)))

    async def test_closed_stream_that_may_not_be_resumed_does_not_look_complete(self):
        """Guards against a stream that looks complete before its last event."""
        answer = await self.call("/summary/1")
        self.assertEqual(numbers(answer), list(range(1, EVENTS // 2 + 1)))
        self.assertTrue(answer.is_unframed)

    async def test_closed_body_is_not_vouched_for(self):
        """Guards against a part of a body that gets a length and looks complete."""
        for path, method in (LOOKUP, BOOKING):
            answer = await self.call(path, method)
            with self.subTest(path=path):
                self.assertEqual((answer.status, answer.body), (200, PART))
                self.assertTrue(answer.is_unframed)

    async def test_body_of_an_upstream_that_is_gone_is_not_passed_on(self):
        """Guards against a part of a body that a killed upstream left behind."""
        for sender in self.services:
            sender.ends = True
        answer = await self.call(*BOOKING)
        self.assertEqual(answer.status, 502)
        self.assertNotIn(PART, answer.body)
        self.assertEqual(len(self.cut.ran(BOOKING[0])), 1)

    async def test_body_that_falls_short_is_not_passed_on(self):
        """Guards against a relay that hides that an answer broke off."""
        for framing in (f"Content-Length: {len(BODY)}\r\n", CHUNKED):
            for sender in self.services:
                sender.framing = framing
            answer = await self.call(*BOOKING)
            with self.subTest(framing=framing):
                self.assertEqual(answer.status, 502)
                self.assertNotIn(PART, answer.body)

    async def test_body_is_broken_by_the_end_of_the_relaying_host(self):
        """Guards against a relaying host whose end looks like that of the answer."""
        for framing in (f"Content-Length: {len(BODY)}\r\n", UNFRAMED):
            for sender in self.services:
                sender.framing = framing
                sender.goes_on.clear()
                sender.begun.clear()
            task = asyncio.create_task(self.call(*BOOKING))
            begun = [asyncio.create_task(s.begun.wait()) for s in self.services]
            await asyncio.wait(begun, return_when=asyncio.FIRST_COMPLETED)
            await asyncio.sleep(0.05)
            self.assertEqual(self.helper.relayed_count, 1)
            for connection in self.helper._http.connections:
                connection.transport.abort()
            answer = await task
            for sender in self.services:
                sender.goes_on.set()
            for waiting in begun:
                waiting.cancel()
            with self.subTest(framing=framing):
                self.assertEqual(answer.status, 502)
                self.assertNotIn(PART, answer.body)

    async def test_body_that_the_relaying_host_ends_early_is_not_passed_on(self):
        """Guards against a relaying host that drops the end of an answer."""
        for sender in self.services:
            sender.framing = f"Content-Length: {len(BODY)}\r\n"
            sender.is_whole = True
        with mock.patch.object(RelayServer, "_pass_on", _pass_on_a_part):
            answer = await self.call(*BOOKING)
        self.assertEqual(answer.status, 502)
        self.assertNotIn(PART, answer.body)


class _Part:
    """An upstream's response of which only a part is read."""

    def __init__(self, response):
        self._response = response

    def __getattr__(self, name):
        return getattr(self._response, name)

    async def chunks(self):
        async for data in self._response.chunks():
            yield data[: len(PART)]
            return


_pass_on = RelayServer._pass_on


async def _pass_on_a_part(server, offer, answer, response):
    await _pass_on(server, offer, answer, _Part(response))
