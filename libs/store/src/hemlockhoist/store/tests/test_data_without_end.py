import asyncio
import contextlib
import gc
import tracemalloc
import unittest
import unittest.mock

from aiohttp import client_proto, http_parser

from hemlockhoist.base import PlatformError
from hemlockhoist.store import PlatformConfig, PlatformTransport, answer_memory

PARSERS = (http_parser.HttpResponseParser, http_parser.HttpResponseParserPy)
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
# What the store sends at first, and then again and again; what the answer is given up
# for where the parser has no bound of its own.
ENDLESS = {
    "interim answers": (b"", b"HTTP/1.1 102 Processing\r\n\r\n" * 50, "a head of more"),
    "empty lines": (b"", b"\r\n" * 500, "a head of more"),
    "extension": (CHUNKED + b"1;", b"x" * 1_000, "outside of its body"),
    "size of a chunk": (CHUNKED, b"0" * 1_000, "size of a chunk"),
}
# Raised by the parser in Python.
OWN_BOUNDS = ("Got more than 8190 bytes", "Bad status line")
CLOSED_WITHIN_S = 5.0
MAX_ANSWER_BYTES = 8_000_000


class Store:
    """A faulty store that answers a call with data without end.

    Parameters
    ==========
    begin, part : bytes
        What it sends at first, and then again and again.
    is_idle : bool, optional
        Whether it waits before ``part`` until ``idle`` is set.
    """

    def __init__(self, begin, part, is_idle=False):
        self._begin, self._part = begin, part
        self.idle = asyncio.Event()
        if not is_idle:
            self.idle.set()
        self.connection_lost = asyncio.Event()

    async def __aenter__(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        self.url = f"http://{host}:{port}"
        return self

    async def __aexit__(self, *exc_info):
        self._server.close()

    async def _serve(self, reader, writer):
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(self._begin)
            await self.idle.wait()
            while True:
                writer.write(self._part)
                await writer.drain()
                await asyncio.sleep(0)
        self.connection_lost.set()
        writer.close()


class DataWithoutEndTests(unittest.IsolatedAsyncioTestCase):
    async def transport(self, store, max_attempts=1):
        config = PlatformConfig(url=store.url, max_attempts=max_attempts)
        transport = PlatformTransport.from_config(config)
        await transport.start()
        self.addAsyncCleanup(transport.close)
        return transport

    async def check_closed(self, store):
        async with asyncio.timeout(CLOSED_WITHIN_S):
            await store.connection_lost.wait()

    def parsers(self):
        """Yield once with each parser of the HTTP library in use."""
        for parser in PARSERS:
            name = "HttpResponseParser"
            with unittest.mock.patch.object(client_proto, name, parser):
                yield parser.__module__

    async def test_answer_without_end_is_given_up(self):
        """Guards against 173 MB of interim answers that a faulty store sends in 4 s."""
        for parser in self.parsers():
            for name, (begin, part, expected) in ENDLESS.items():
                with self.subTest(name, parser=parser):
                    async with Store(begin, part) as store:
                        transport = await self.transport(store)
                        with self.assertRaises(PlatformError) as caught:
                            await transport.fetch("/x")
                        await self.check_closed(store)
                    reason = str(caught.exception)
                    allowed = (expected, *OWN_BOUNDS)
                    self.assertTrue(any(text in reason for text in allowed), reason)

    async def test_answers_without_end_on_an_idle_connection(self):
        """Guards against 411 MB of answers to no call within 3 s."""
        for parser in self.parsers():
            with self.subTest(parser=parser):
                async with Store(ANSWER, ANSWER * 20, is_idle=True) as store:
                    transport = await self.transport(store)
                    self.assertEqual(await transport.read("/x"), b"{}")
                    store.idle.set()
                    await self.check_closed(store)

    async def test_answers_that_were_given_up_are_freed(self):
        """Guards against the bodies of failed attempts that stay until a collection."""
        part = b"4000\r\n" + bytes(0x4000) + b"\r\n"
        limit = unittest.mock.patch.object(
            answer_memory, "MAX_ANSWER_BYTES", MAX_ANSWER_BYTES
        )
        async with Store(CHUNKED, part) as store:
            with limit:
                transport = await self.transport(store, max_attempts=4)
            gc.collect()
            gc.disable()
            self.addCleanup(gc.enable)
            tracemalloc.start()
            self.addCleanup(tracemalloc.stop)
            with self.assertRaises(PlatformError):
                await transport.fetch("/x")
            _, peak_bytes = tracemalloc.get_traced_memory()
        self.assertLess(peak_bytes, 2 * MAX_ANSWER_BYTES)
