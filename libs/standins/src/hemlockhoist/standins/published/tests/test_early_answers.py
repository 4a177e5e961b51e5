"""End-to-end tests of upstreams that answer before they have read the request."""

import asyncio
import itertools
import unittest
import warnings

from hemlockhoist.base import MS_PER_S
from hemlockhoist.listeners import set_reset_on_close
from hemlockhoist.standins.published import Site
from hemlockhoist.standins.published.raw import RawReplica, call_raw
from hemlockhoist.standins.published.tests.test_answer_ends import (
    BODY,
    CHUNKED,
    EVENTS,
    ROUTES,
    UNFRAMED,
    event,
    numbers,
)

PART = BODY[:2_000]
SIZES = (20_000, 200_000, 1_000_000, 4_000_000)
RESETS_AFTER_MS = (0, 10)


class EarlyReplica(RawReplica):
    """A replica that sends a part of an answer at once, and reads no body.

    Parameters
    ==========
    part : bytes
        What it sends of its body.
    framing : str
    reset_after_ms : int or None
        When it then resets the connection; None if it closes it in order, and reads the
        rest of the request only to drop it.
    """

    def __init__(self, part, framing, reset_after_ms):
        super().__init__("a", self.answer, reads_body=False, events=EVENTS)
        self._part = part
        self._framing = framing
        self._reset_after_ms = reset_after_ms
        self._readers = {}

    async def answer(self, received, writer):
        writer.write(self.head(received, framing=self._framing) + self._part)
        await writer.drain()
        if self._reset_after_ms is not None:
            await asyncio.sleep(self._reset_after_ms / MS_PER_S)
            set_reset_on_close(writer.transport, True)
            writer.transport.abort()
            return
        writer.write_eof()
        async with asyncio.timeout(1.0):
            while await self._readers[writer].read(65_536):
                pass

    async def _answer(self, reader, writer, begun=b""):
        self._readers[writer] = reader
        return await super()._answer(reader, writer, begun)


class EarlyAnswerTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        # The HTTP library's advice on bodies above 1 MB is no leak, for which the tests
        # run with these warnings as errors.
        caught = warnings.catch_warnings()
        caught.__enter__()
        self.addCleanup(caught.__exit__, None, None, None)
        warnings.filterwarnings("ignore", "Sending a large body", ResourceWarning)

    async def answers(self, path, part, framing, resets_after_ms=(None,)):
        """Yield the answers to requests with bodies of several sizes."""
        for size, reset_after_ms in itertools.product(SIZES, resets_after_ms):
            replica = EarlyReplica(part, framing, reset_after_ms)
            found = {"reservas": [], "asistente": []}
            service = "reservas" if path == "/book-hall/1" else "asistente"
            found[service] = [replica]
            async with Site(found, ROUTES) as site:
                body = b"x" * size
                answer = await call_raw(site, path, method="POST", body=body)
                self.assertEqual(len(replica.ran), 1)
                with self.subTest(size=size, reset_after_ms=reset_after_ms):
                    yield answer

    async def test_part_of_a_body_before_a_reset_is_not_complete(self):
        """Guards against a reset that looks like the end of an early answer."""
        framings = (UNFRAMED, CHUNKED, f"Content-Length: {len(BODY)}\r\n")
        for framing in framings:
            part = PART if framing != CHUNKED else b"7d0\r\n" + PART + b"\r\n"
            async for answer in self.answers(
                "/book-hall/1", part, framing, RESETS_AFTER_MS
            ):
                self.assertEqual(answer.status, 502)
                self.assertNotIn(PART, answer.body)

    async def test_part_of_a_stream_before_a_reset_is_not_complete(self):
        """Guards against a reset that looks like the end of an early stream."""
        part = event(1) + event(2)
        async for answer in self.answers("/summary/1", part, UNFRAMED, RESETS_AFTER_MS):
            if answer.status == 200:
                self.assertTrue(answer.is_reset)

    async def test_part_of_a_body_before_an_orderly_close_is_not_vouched_for(self):
        """Guards against a part of an early answer that looks complete."""
        async for answer in self.answers("/book-hall/1", PART, UNFRAMED):
            if answer.status == 200:
                self.assertTrue(answer.is_unframed)
                self.assertEqual(answer.body, PART)
            else:
                self.assertEqual(answer.status, 502)

    async def test_part_of_a_stream_before_an_orderly_close_is_not_vouched_for(self):
        """Guards against a part of an early stream that looks complete."""
        part = event(1) + event(2)
        async for answer in self.answers("/summary/1", part, UNFRAMED):
            if answer.status == 200:
                self.assertTrue(answer.is_unframed)
                self.assertEqual(numbers(answer), [1, 2])
