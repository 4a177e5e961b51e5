import asyncio
import contextlib
import unittest
import unittest.mock

from aiohttp import client_proto, http_parser

from hemlockhoist.upstreams import UpstreamCall, UpstreamClient

ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
PARSERS = (http_parser.HttpResponseParser, http_parser.HttpResponseParserPy)
CLOSED_WITHIN_S = 5.0


class Upstream:
    """Answers one request, and sends further answers once that one has been read."""

    def __init__(self, further):
        self._further = further
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
            writer.write(ANSWER)
            await self.answer_read.wait()
            while True:
                writer.write(self._further)
                await writer.drain()
                await asyncio.sleep(0.01)
        self.connection_lost.set()
        writer.close()


class UnrequestedAnswerTests(unittest.IsolatedAsyncioTestCase):
    async def check_closed(self, further):
        client = UpstreamClient()
        await client.start()
        self.addAsyncCleanup(client.close)
        async with Upstream(further) as upstream:
            call = UpstreamCall(address=upstream.address, method="GET", path="/x")
            self.assertEqual(await client.fetch(call), (200, b"{}"))
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
