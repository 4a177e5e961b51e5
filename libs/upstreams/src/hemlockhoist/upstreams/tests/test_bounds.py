import asyncio
import contextlib
import doctest
import time
import unittest
import unittest.mock
from random import Random

from aiohttp import client_proto, http_parser
from hypothesis import given, settings
from hypothesis import strategies as st

from hemlockhoist.base import Clock, DispatchError, InvariantLog, ResultCode
from hemlockhoist.upstreams import (
    DispatchRegister,
    SendGuard,
    UpstreamCall,
    UpstreamClient,
    bounds,
)
from hemlockhoist.upstreams.client import READ_BUFFER_BYTES
from hemlockhoist.upstreams.response import MAX_REASON_CHARACTERS

BODY_LIMIT_BYTES = 100_000
# Pieces of valid and invalid responses, in any order.
PIECES = st.sampled_from(
    (
        b"HTTP/1.1 200 OK\r\n",
        b"HTTP/1.1 102 Processing\r\n\r\n",
        b"Content-Length: 5\r\n",
        b"Transfer-Encoding: chunked\r\n",
        b"\r\n",
        b"5\r\nhello\r\n",
        b"0\r\n\r\n",
        b"X: " + b" " * 9_000,
        b"x" * 9_000,
    )
)


class Upstream:
    """Sends given chunks to each connection, and then repeats the last one or ends."""

    def __init__(self, chunks, is_endless=False, reads=True):
        self.chunks, self.is_endless, self.reads = chunks, is_endless, reads
        self.address = ""
        self.sent_bytes = 0
        self.connection_lost = asyncio.Event()

    async def __aenter__(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"
        return self

    async def __aexit__(self, *exc_info):
        self._server.close()
        await self._server.wait_closed()

    async def _serve(self, reader, writer):
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            if not self.reads:
                writer.transport.pause_reading()
                await asyncio.sleep(0.5)
                writer.transport.resume_reading()
                while await reader.read(1 << 20):
                    pass
            await reader.readuntil(b"\r\n\r\n")
            for chunk in self.chunks:
                await self._send(writer, chunk)
            while self.is_endless:
                await self._send(writer, self.chunks[-1])
        self.connection_lost.set()
        writer.close()

    async def _send(self, writer, chunk):
        writer.write(chunk)
        self.sent_bytes += len(chunk)
        await writer.drain()
        await asyncio.sleep(0)


class Slow(Upstream):
    """Pauses after each chunk, until its connection is closed at the latest."""

    def __init__(self, chunks, is_endless=False, pause_s=0.0):
        super().__init__(chunks, is_endless)
        self._pause_s = pause_s

    async def _send(self, writer, chunk):
        await super()._send(writer, chunk)
        closed = asyncio.create_task(writer.wait_closed())
        await asyncio.wait([closed], timeout=self._pause_s)
        closed.cancel()


@contextlib.asynccontextmanager
async def dispatched(address, body=b"", timeout_ms=2_000, headers=()):
    """Dispatch a request and yield its response."""
    client, clock = UpstreamClient(), Clock.from_running_loop()
    await client.start()
    guard = SendGuard(
        clock,
        clock.now_ms() + 60_000,
        DispatchRegister(InvariantLog(fatal=True)),
        "r1",
    )
    call = UpstreamCall(
        address=address,
        method="POST",
        path="/x",
        body=body,
        headers=headers,
        request_id="r1",
        idle_timeout_ms=timeout_ms,
    )
    try:
        async with client.dispatch(call, guard) as response:
            yield response
    finally:
        await client.close()


async def fetch(address, **options):
    """Dispatch a request and return the status and body of its response."""
    async with dispatched(address, **options) as response:
        return response.status, await response.read(BODY_LIMIT_BYTES)


class GarbageTests(unittest.TestCase):
    @settings(deadline=None, max_examples=60)
    @given(
        st.lists(st.one_of(PIECES, st.binary(max_size=200)), min_size=1, max_size=8),
        st.booleans(),
    )
    def test_garbage_ends_in_a_response_or_a_broken_one(self, chunks, is_endless):
        """Guards against bytes of an upstream that raise an error nobody expects."""

        async def run():
            async with Upstream(chunks, is_endless and bool(chunks[-1])) as upstream:
                try:
                    async with asyncio.timeout(5):
                        status, body = await fetch(upstream.address, timeout_ms=300)
                except DispatchError as error:
                    # "connection failed", as nothing else, may have a longer reason.
                    self.assertLessEqual(len(error.message), MAX_REASON_CHARACTERS)
                else:
                    self.assertLessEqual(len(body), BODY_LIMIT_BYTES)
                    self.assertGreaterEqual(status, 100)

        asyncio.run(run())

    def test_examples_run(self):
        self.assertEqual(doctest.testmod(bounds).failed, 0)


class BoundTests(unittest.IsolatedAsyncioTestCase):
    async def check_broken(self, *chunks, is_endless=True):
        begin_s = time.monotonic()
        async with Upstream(chunks, is_endless) as upstream:
            with self.assertRaises(DispatchError) as caught:
                await fetch(upstream.address, timeout_ms=20_000)
            async with asyncio.timeout(1):
                await upstream.connection_lost.wait()
        self.assertLess(time.monotonic() - begin_s, 2.5)
        return caught.exception.message

    async def test_head_is_bounded_in_bytes(self):
        """Guards against a head that the HTTP library skips without end."""
        for part in (b"\r\n" * 500, b"HTTP/1.1 102 Processing\r\n\r\n" * 40):
            with self.subTest(part=part[:30]):
                message = await self.check_broken(part)
                self.assertIn("head of more than", message)

    async def test_bytes_between_those_of_a_body_are_bounded(self):
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;"
        message = await self.check_broken(head, b"x" * 1_000)
        self.assertIn("outside of its body", message)

    async def test_framing_of_a_body_is_bounded(self):
        """Guards against a request that a faulty upstream holds until its deadline."""
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        for parts in (b"1;%s\r\nx\r\n" % (b"x" * 4_000), b"1\r\nx\r\n" * 200):
            with self.subTest(parts[:10]):
                message = await self.check_broken(head, parts)
                self.assertIn("bytes of framing", message)

    async def test_body_in_small_chunks_is_read(self):
        """Guards against a stream of short events that is taken for one without end."""
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        chunks = b"3\r\nabc\r\n" * 25_000 + b"1\r\nx\r\n" * 4_000
        async with Upstream([head + chunks + b"0\r\n\r\n"]) as upstream:
            status, body = await fetch(upstream.address)
        self.assertEqual((status, len(body)), (200, 79_000))

    async def test_slow_reader_gets_all_of_a_body(self):
        """Guards against bytes that are lost or out of order where reading pauses."""
        random = Random(1)
        sizes = [random.choice((1, 7, 900, 30_000)) for _ in range(200)]
        pieces = [random.randbytes(size) for size in sizes]
        chunks = b"".join(b"%x\r\n%s\r\n" % (len(item), item) for item in pieces)
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        parsers = http_parser.HttpResponseParser, http_parser.HttpResponseParserPy
        for parser in parsers:
            name = "HttpResponseParser"
            with (
                self.subTest(parser=parser.__module__),
                unittest.mock.patch.object(client_proto, name, parser),
            ):
                async with (
                    Upstream([head + chunks + b"0\r\n\r\n"]) as upstream,
                    dispatched(upstream.address) as response,
                ):
                    body = b""
                    async for part in response.chunks():
                        body += part
                        if random.random() < 0.1:
                            await asyncio.sleep(0.002)
                self.assertEqual(body, b"".join(pieces))

    async def test_few_interim_answers_are_parsed(self):
        """Guards against an event loop that is held while it parses thousands."""
        with unittest.mock.patch.object(
            client_proto.ResponseHandler, "feed_data", autospec=True
        ) as feed_data:
            await self.check_broken(b"HTTP/1.1 102 Processing\r\n\r\n" * 9_000)
        self.assertLessEqual(feed_data.call_count, 240)

    async def test_head_that_trickles_is_bounded_in_time(self):
        """Guards against a head of which bytes keep arriving until the deadline."""
        begin_s = time.monotonic()
        chunks = [b"HTTP/1.1 200 OK\r\nX: ", b"x"]
        async with Slow(chunks, is_endless=True, pause_s=0.05) as upstream:
            with self.assertRaises(DispatchError) as caught:
                await fetch(upstream.address, timeout_ms=4_000)
        self.assertIn("did not end within 500 ms", caught.exception.message)
        self.assertLess(time.monotonic() - begin_s, 1.0)

    async def test_silence_after_a_part_of_a_head_is_left_to_the_read_timeout(self):
        """Guards against an answer that ends sooner as its upstream pauses in a head."""
        begin_s = time.monotonic()
        async with Slow([b"HTTP/1.1 200 OK\r\nX: "], pause_s=5.0) as upstream:
            with self.assertRaises(DispatchError) as caught:
                await fetch(upstream.address, timeout_ms=1_000)
        self.assertIs(caught.exception.code, ResultCode.UPSTREAM_TIMEOUT)
        self.assertGreater(time.monotonic() - begin_s, 0.9)

    async def test_final_head_after_an_interim_one_has_its_own_time(self):
        """Guards against an answer in time that is cut off as it was announced."""
        interim = b"HTTP/1.1 102 Processing\r\n\r\n"
        final = b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n1"
        async with Slow([interim, final], pause_s=0.7) as upstream:
            status, body = await fetch(upstream.address, timeout_ms=4_000)
        self.assertEqual((status, body), (200, b"1"))

    async def test_request_that_an_upstream_does_not_read_is_dropped(self):
        """Guards against a body that stays in memory after its request has ended."""

        async def body():
            for _ in range(40):
                yield bytes(1_000_000)

        headers = (("Content-Length", "40000000"),)
        async with Upstream([], reads=False) as upstream:
            with self.assertRaises(TimeoutError):
                async with asyncio.timeout(0.2):
                    await fetch(upstream.address, body=body(), headers=headers)
            async with asyncio.timeout(2):
                await upstream.connection_lost.wait()


class ReadAheadTests(unittest.IsolatedAsyncioTestCase):
    CHUNK_BYTES = 5_000
    CHUNKS = 24

    def upstream(self):
        body = [bytes(self.CHUNK_BYTES)] * self.CHUNKS
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % sum(map(len, body))
        return Slow([head, *body], pause_s=0.005)

    async def test_little_is_read_ahead_of_a_reader_that_waits(self):
        """Guards against answers in memory that is not reserved for them yet."""
        async with (
            self.upstream() as upstream,
            dispatched(upstream.address) as response,
        ):
            await asyncio.sleep(0.5)
            most_bytes = 2 * READ_BUFFER_BYTES + self.CHUNK_BYTES
            self.assertLess(READ_BUFFER_BYTES, response.unread_bytes)
            self.assertLessEqual(response.unread_bytes, most_bytes)
            body = await response.read(1_000_000)
            self.assertEqual(len(body), self.CHUNK_BYTES * self.CHUNKS)
            self.assertEqual(response.unread_bytes, 0)

    async def test_nothing_is_read_while_the_reader_pauses(self):
        """Guards against what is read ahead of each of hundreds of slow callers."""
        async with (
            self.upstream() as upstream,
            dispatched(upstream.address) as response,
        ):
            chunks, sizes = response.chunks(), []
            sizes.append(len(await anext(chunks)))
            response.pause()
            unread_bytes = response.unread_bytes
            await asyncio.sleep(0.3)
            self.assertEqual(response.unread_bytes, unread_bytes)
            response.resume()
            sizes.extend([len(chunk) async for chunk in chunks])
            self.assertEqual(sum(sizes), self.CHUNK_BYTES * self.CHUNKS)
            # The connection may have ended.
            response.pause()
            response.resume()

    async def test_closed_response_keeps_nothing_that_was_read_ahead(self):
        """Guards against 116 MB of 400 streams that were cut, until they are collected."""
        async with self.upstream() as upstream:
            async with dispatched(upstream.address) as response:
                await asyncio.sleep(0.3)
                content = response._response.content
                self.assertGreater(sum(map(len, content._buffer)), READ_BUFFER_BYTES)
            self.assertEqual(len(content._buffer), 0)
