import asyncio
import contextlib
import unittest
import unittest.mock

import aiohttp
from aiohttp import client_proto, http_parser

from hemlockhoist.base import DispatchError
from hemlockhoist.upstreams import (
    BoundedHandler,
    DirectConnector,
    UpstreamCall,
    UpstreamClient,
)

ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
PARSERS = (http_parser.HttpResponseParser, http_parser.HttpResponseParserPy)
SECOND_ANSWERS = {
    "length": ANSWER,
    "chunked": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
    "unframed": b"HTTP/1.1 200 OK\r\n\r\n{}",
    "no body": b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
    "plain": b"{}",
}
CLOSED_WITHIN_S = 5.0


class Upstream:
    """Answers one request, and sends further answers once that one has been read."""

    def __init__(self, further, answer=ANSWER):
        self._further = further
        self._answer = answer
        self.answer_read = asyncio.Event()
        self.connection_lost = asyncio.Event()

    async def __aenter__(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"
        return self

    async def __aexit__(self, *exc_info):
        self._server.close()

    async def _serve(self, reader, writer):
        with contextlib.suppress(OSError):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(self._answer)
            await self.answer_read.wait()
            while True:
                writer.write(self._further)
                await writer.drain()
                await asyncio.sleep(0.01)
        self.connection_lost.set()
        writer.close()


class UnrequestedAnswerTests(unittest.IsolatedAsyncioTestCase):
    async def check_closed(self, further):
        connector = DirectConnector(BoundedHandler, limit=0)
        session = aiohttp.ClientSession(connector=connector)
        self.addAsyncCleanup(session.close)
        async with Upstream(further) as upstream:
            async with session.get(f"http://{upstream.address}/x") as response:
                self.assertEqual((response.status, await response.read()), (200, b"{}"))
            self.assertFalse(upstream.connection_lost.is_set())
            upstream.answer_read.set()
            async with asyncio.timeout(CLOSED_WITHIN_S):
                await upstream.connection_lost.wait()

    async def test_answers_without_end_on_an_idle_connection(self):
        """Guards against answers to no request that are kept until memory is full."""
        for parser in PARSERS:
            for further in (ANSWER * 20, b"HTTP/1.1 204 No Content\r\n\r\n" * 20):
                patch = unittest.mock.patch.object(
                    client_proto, "HttpResponseParser", parser
                )
                with self.subTest(parser=parser, further=further[:20]), patch:
                    await self.check_closed(further)


class LateUpstream:
    """Answers each call by its number, and the first of a connection again before."""

    def __init__(self, second, is_apart):
        self._second = second
        self._is_apart = is_apart
        self._call_count = 0

    async def __aenter__(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"
        return self

    async def __aexit__(self, *exc_info):
        self._server.close()

    async def _serve(self, reader, writer):
        second = b""
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                await reader.readuntil(b"\r\n\r\n")
                self._call_count += 1
                writer.write(second)
                await asyncio.sleep(0.005 * self._is_apart)
                writer.write(ANSWER.replace(b"{}", b"%02d" % self._call_count))
                second = self._second
        writer.close()


class FetchTests(unittest.IsolatedAsyncioTestCase):
    """Reports of load, and other answers to calls that run no work."""

    async def asyncSetUp(self):
        self.client = UpstreamClient()
        await self.client.start()
        self.addAsyncCleanup(self.client.close)

    async def test_report_is_none_of_an_earlier_call(self):
        """Guards against an earlier load that is taken for the present one."""
        for name, second in SECOND_ANSWERS.items():
            for is_apart in (False, True):
                with self.subTest(name=name, is_apart=is_apart):
                    async with LateUpstream(second, is_apart) as upstream:
                        call = UpstreamCall(
                            address=upstream.address, method="GET", path="/load"
                        )
                        found = [await self.client.fetch(call) for _ in range(3)]
                    self.assertEqual(found, [(200, b"01"), (200, b"02"), (200, b"03")])

    async def test_report_ends_with_its_stated_end(self):
        """Guards against a report with the bytes of a second answer."""
        for name, second in SECOND_ANSWERS.items():
            with self.subTest(name=name):
                async with Upstream(b"x", ANSWER + second) as upstream:
                    call = UpstreamCall(
                        address=upstream.address, method="GET", path="/load"
                    )
                    self.assertEqual(await self.client.fetch(call), (200, b"{}"))

    async def test_second_head_within_a_head_is_no_report(self):
        """Guards against a report that is read from a second answer."""
        async with Upstream(b"", b"HTTP/1.1 200 OK\r\n" + ANSWER) as upstream:
            call = UpstreamCall(address=upstream.address, method="GET", path="/load")
            with self.assertRaises(DispatchError):
                await self.client.fetch(call)
