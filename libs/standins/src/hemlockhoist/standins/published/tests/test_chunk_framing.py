"""End-to-end tests of upstreams whose chunks have odd sizes."""

import unittest

from hemlockhoist.base.testing import run_with_python_parser
from hemlockhoist.standins.published import Site, route
from hemlockhoist.standins.published.endless import chunk
from hemlockhoist.standins.published.raw import LAST_CHUNK, RawReplica, call_raw

LOOKUP = route("check-free", "reservas", max_attempts=1)
SUMMARY = route("summary", "asistente", "streaming", timeout_ms=5_000, max_attempts=1)
CHUNKED = "Transfer-Encoding: chunked\r\n"
EVENTS = [b"id: %d\ndata: piece %d\n\n" % (n, n) for n in range(1, 11)]
PARTS = [b"x" * 400] * 10
# Lines in place of a chunk's size, with its end, that both parsers refuse.
NO_LAST_CHUNKS = (
    b"0\n\n",
    b"0\n\r\n",
    b"0\r\n\n",
    b"0\r\r\n\r\n",
    b"0;x=\x01\r\n\r\n",
    b"0;\0\r\n\r\n",
    b"0;x\r\r\n\r\n",
    b"0;x=\x7f\r\n\r\n",
    b" 0\r\n\r\n",
    b"+0\r\n\r\n",
    b"0x0\r\n\r\n",
    b"-0\r\n\r\n",
    b"0_0\r\n\r\n",
    b"\r\n\r\n",
    b";x\r\n\r\n",
    b"0 0\r\n\r\n",
    b"\xd9\xa0\r\n\r\n",
)
LAST_CHUNKS = (
    LAST_CHUNK,
    b"000\r\n\r\n",
    b"0 \r\n\r\n",
    b"0;x\r\n\r\n",
    b'0;x="a;b"\r\n\r\n',
    b"0; x=y\r\n\r\n",
    b"0\r\nX-Sum: 12\r\n\r\n",
    b"0;x=y\r\nX-Sum: 12\r\nX-Time: 3\r\n\r\n",
)


def sends(parts, end):
    """Return a replica that sends chunks and some bytes, and ends the connection."""

    async def send(received, writer):
        data = b"".join(map(chunk, parts))
        writer.write(sender.head(received, framing=CHUNKED) + data + end)
        await writer.drain()

    sender = RawReplica("a", send)
    return sender


class LastChunkTests(unittest.IsolatedAsyncioTestCase):
    async def call(self, path, replica):
        is_stream = path.startswith("/summary")
        services = {"asistente": [], "reservas": []}
        services["asistente" if is_stream else "reservas"] = [replica]
        async with Site(services, [LOOKUP, SUMMARY]) as site:
            method = "POST" if is_stream else "GET"
            return await call_raw(site, path, method=method)

    async def test_odd_last_chunk_does_not_end_a_stream(self):
        """Guards against a stream that looks complete before its last event."""
        for end in NO_LAST_CHUNKS:
            with self.subTest(end=end):
                answer = await self.call("/summary/1", sends(EVENTS[:5], end))
                self.assertFalse(answer.status == 200 and answer.states_end)

    async def test_odd_last_chunk_does_not_end_a_body(self):
        """Guards against a part of a body that looks complete."""
        for end in NO_LAST_CHUNKS:
            with self.subTest(end=end):
                answer = await self.call("/check-free/1", sends(PARTS[:5], end))
                self.assertEqual(answer.status, 502)

    async def test_usual_last_chunks_end_whole_answers(self):
        """Guards against whole answers that are lost."""
        for end in LAST_CHUNKS:
            with self.subTest(end=end):
                stream = await self.call("/summary/1", sends(EVENTS, end))
                self.assertTrue(stream.status == 200 and stream.states_end)
                self.assertEqual(stream.body.count(b"id: "), len(EVENTS))
                plain = await self.call("/check-free/1", sends(PARTS, end))
                self.assertEqual((plain.status, plain.body), (200, b"".join(PARTS)))


class OtherParserTests(unittest.TestCase):
    def test_chunks_end_alike_with_the_parser_in_python(self):
        """Guards against hosts that take different bytes for the last chunk."""
        run_with_python_parser(f"{__name__}.LastChunkTests")
