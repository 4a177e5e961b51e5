import asyncio
import contextlib
import doctest
import unittest

from aiohttp import http_parser
from aiohttp.base_protocol import BaseProtocol
from hypothesis import given
from hypothesis import strategies as st

from hemlockhoist.base import DispatchError, ResultCode
from hemlockhoist.base.testing import run_with_python_parser
from hemlockhoist.upstreams import chunk_framing
from hemlockhoist.upstreams.chunk_framing import ChunkReader
from hemlockhoist.upstreams.tests.test_bounds import (
    Slow,
    Upstream,
    dispatched,
    fetch,
)

HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
LAST = b"0\r\n\r\n"
BUFFER_BYTES = 65_536
# The requests wait for 2 s on a silent connection.
MAX_S = 1.0
NO_SIZES = (
    b"",
    b" 5",
    b"+5",
    b"-5",
    b"0x5",
    b"5_0",
    b"5g",
    b"5 5",
    b"5,a",
    b";a",
    b"5\r",
    b"5\n",
    b"5;a\r",
    b"5;a\n",
    b"5;a=\x01",
    b"5;\0",
    b"5;a=\x7f",
    b"\xd9\xa5",
    b"f" * 16,
)
SIZES = (
    b"5",
    b"05",
    b"0" * 40 + b"5",
    b"5 ",
    b"5\t ",
    b"5;",
    b"5;a",
    b"5;a=b",
    b"5 ; a = b",
    b'5;a="b;\tc\xe9";d',
    b"5;a=" + b"x" * 9_000,
)
NO_TRAILERS = (b"a", b" A: b", b"A : b", b": b", b"A: b\x01", b"A: b\r", b"\xe9: b")
TRAILERS = (b"A: b", b"A:", b"A: \xe9", b"A: b\r\nC: d", b"Content-Length: 5")

EXTENSIONS = st.sampled_from((b"", b" ", b";a", b";a=b", b'; a="b;c"; d'))
TRAILER_LINES = st.lists(st.sampled_from((b"A: b\r\n", b"X-Sum:12\r\n")), max_size=3)
CHUNKS = st.lists(st.tuples(st.binary(min_size=1, max_size=40), EXTENSIONS), max_size=5)
CUTS = st.lists(st.integers(0, 300), max_size=8)
# Pieces of valid and invalid framing, in any order.
PIECES = st.lists(
    st.sampled_from(
        (
            b"5\r\nhello\r\n",
            b"5;a=b\r\nhello\r\n",
            b"5",
            b"0",
            b"0\r\n\r\n",
            b"0\r\n",
            b"\r\n",
            b"\n",
            b"\r",
            b";x=\x01",
            b" ",
            b"A: b\r\n",
            b"hello",
        )
    ),
    max_size=6,
)


def cut(data, cuts):
    """Return data in parts, which end at these places."""
    places = [0, *sorted(place for place in cuts if place < len(data)), len(data)]
    return [data[begin:end] for begin, end in zip(places, places[1:], strict=False)]


def pass_through(parts):
    """Return what a reader passes on of parts, and whether they are broken."""
    reader = ChunkReader()
    passed = [reader.feed(part) for part in parts]
    return b"".join(passed), reader.error is not None


class Protocol(BaseProtocol):
    """Takes the place of a connection whose reader never pauses it."""

    def pause_reading(self):
        pass


def parse(parser_class, loop, data):
    """Return the body that a parser finds behind a head, and whether it is whole."""
    parser = parser_class(Protocol(loop), loop, BUFFER_BYTES, response_with_body=True)
    ((_, body),), _, _ = parser.feed_data(HEAD)
    parser.feed_data(data)
    return b"".join(map(bytes, body._buffer)), body.is_eof()


class Open(Upstream):
    """Holds the connection open behind its last chunk until the other side closes it."""

    async def _serve(self, reader, writer):
        with contextlib.suppress(OSError):
            await reader.readuntil(b"\r\n\r\n")
            for chunk in self.chunks:
                await self._send(writer, chunk)
            await reader.read()
        self.connection_lost.set()
        writer.close()


class PropertyTests(unittest.TestCase):
    @given(CHUNKS, TRAILER_LINES, CUTS)
    def test_any_split_of_a_whole_body_is_passed_on(self, chunks, trailers, cuts):
        """Guards against whole answers that are lost for where their bytes are cut."""
        found = [(b"%x" % len(data), data, extension) for data, extension in chunks]
        sent = b"".join(b"%b%b\r\n%b\r\n" % (n, e, data) for n, data, e in found)
        expected = b"".join(b"%b\r\n%b\r\n" % (n, data) for n, data, _ in found)
        parts = cut(sent + b"0\r\n" + b"".join(trailers) + b"\r\n", cuts)
        self.assertEqual(pass_through(parts), (expected + LAST, False))

    @given(PIECES, CUTS)
    def test_bytes_are_read_alike_however_they_are_cut(self, pieces, cuts):
        """Guards against a part of a body that looks whole for where it is cut."""
        data = b"".join(pieces)
        self.assertEqual(pass_through(cut(data, cuts)), pass_through([data]))

    @given(PIECES)
    def test_both_parsers_read_what_is_passed_on_alike(self, pieces):
        """Guards against hosts that take different bytes for the last chunk."""
        loop = asyncio.new_event_loop()
        self.addCleanup(loop.close)
        passed, _ = pass_through([b"".join(pieces)])
        end = passed.find(LAST)
        passed = passed if end < 0 else passed[: end + len(LAST)]
        classes = (http_parser.HttpResponseParserPy, http_parser.HttpResponseParser)
        first, second = (parse(item, loop, passed) for item in classes)
        self.assertEqual(first, second)


class FramingTests(unittest.IsolatedAsyncioTestCase):
    async def check_refused(self, body):
        """Check that a body ends at once, on a connection that stays open."""
        for chunks in ([HEAD, body], [HEAD + body], [HEAD, *cut(body, range(100))]):
            with self.subTest(body=body, chunk_count=len(chunks)):
                async with Open(chunks) as upstream:
                    async with asyncio.timeout(MAX_S):
                        with self.assertRaises(DispatchError) as caught:
                            await fetch(upstream.address)
                        await upstream.connection_lost.wait()
                self.assertEqual(caught.exception.code, ResultCode.UPSTREAM_BROKE_OFF)

    async def check_read(self, body):
        with self.subTest(body=body):
            self.assertEqual(pass_through([body]), (b"5\r\nhello\r\n" + LAST, False))

    async def test_odd_sizes_are_refused(self):
        """Guards against a part of a body that one of the parsers takes for whole."""
        for line in NO_SIZES:
            await self.check_refused(b"2\r\nab\r\n" + line + b"\r\nhello\r\n" + LAST)

    async def test_odd_ends_of_chunks_are_refused(self):
        """Guards against lines without CR that one of the parsers takes for ends."""
        for body in (b"5\nhello\r\n0\r\n\r\n", b"5\r\nhello\n0\r\n\r\n", b"0\r\n\n"):
            await self.check_refused(body)

    async def test_odd_trailers_are_refused(self):
        """Guards against an error page that is taken for the end of a body."""
        for lines in NO_TRAILERS:
            await self.check_refused(b"0\r\n" + lines + b"\r\n\r\n")

    async def test_usual_sizes_and_trailers_are_read(self):
        """Guards against whole answers that are lost."""
        for line in SIZES:
            await self.check_read(line + b"\r\nhello\r\n" + LAST)
            await self.check_read(
                b"5\r\nhello\r\n" + line.replace(b"5", b"0") + LAST[1:]
            )
        for lines in TRAILERS:
            await self.check_read(b"5\r\nhello\r\n0\r\n" + lines + b"\r\n\r\n")

    async def test_body_with_extensions_is_read_over_a_connection(self):
        """Guards against whole answers that are lost."""
        body = b"5; a=b\r\nhello\r\n1;c\r\n!\r\n0\r\nX-Sum: 1\r\n\r\n"
        for chunks in ([HEAD + body], [HEAD, body], cut(HEAD + body, range(200))):
            async with Slow(chunks, pause_s=0.001) as upstream:
                self.assertEqual(await fetch(upstream.address), (200, b"hello!"))

    async def test_head_of_a_broken_body_is_read(self):
        """Guards against a refusal of chunks that hides the answer's head."""
        async with (
            Slow([HEAD + b"5\r\nhello\r\nx"]) as upstream,
            dispatched(upstream.address) as response,
        ):
            self.assertEqual(response.status, 200)


class OtherParserTests(unittest.TestCase):
    def test_chunks_are_the_same_with_the_parser_in_python(self):
        """Guards against hosts that take different bytes for chunks."""
        run_with_python_parser(f"{__name__}.FramingTests")


def load_tests(loader, tests, pattern):
    tests.addTests(doctest.DocTestSuite(chunk_framing))
    return tests
