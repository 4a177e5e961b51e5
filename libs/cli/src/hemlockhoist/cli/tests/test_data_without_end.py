import asyncio
import contextlib
import gzip
import unittest
import unittest.mock

from aiohttp import client_proto, http_parser

from hemlockhoist.cli import client as client_module
from hemlockhoist.cli.client import OperatorClient
from hemlockhoist.cli.errors import HostUnreachable

PARSERS = (http_parser.HttpResponseParser, http_parser.HttpResponseParserPy)
STATUS = b"HTTP/1.1 200 OK\r\n"
PART = b"x" * 16_384
EXPANDING = gzip.compress(bytes(10_000_000))
# What a host sends at first, and then again and again.
ENDLESS = {
    "interim answers": (b"", b"HTTP/1.1 102 Processing\r\n\r\n" * 50),
    "empty lines": (b"", b"\r\n" * 500),
    "body": (STATUS + b"Content-Length: 99999999999\r\n\r\n", PART),
    "unframed body": (STATUS + b"\r\n", PART),
    "compressed body": (
        STATUS + b"Content-Encoding: gzip\r\nContent-Length: 99999999999\r\n\r\n",
        EXPANDING,
    ),
    "extension": (STATUS + b"Transfer-Encoding: chunked\r\n\r\n1;", PART),
}
# Of a command that is not limited otherwise; before, a call lasted up to 15 s.
MAX_BODY_BYTES = 1_000_000
GIVEN_UP_WITHIN_S = 5.0


class DataWithoutEndTests(unittest.IsolatedAsyncioTestCase):
    async def serve(self, reader, writer):
        begin, part = self.data
        with contextlib.suppress(OSError):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(begin)
            while True:
                writer.write(part)
                await writer.drain()
                await asyncio.sleep(0)
        writer.close()

    async def check_given_up(self):
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.addCleanup(server.close)
        host, port = server.sockets[0].getsockname()
        client = OperatorClient([f"{host}:{port}"], "key")
        await client.start()
        self.addAsyncCleanup(client.close)
        async with asyncio.timeout(GIVEN_UP_WITHIN_S):
            with self.assertRaises(HostUnreachable):
                await client.status()

    async def test_answer_without_end_is_given_up(self):
        """Guards against 2.9 GB that a faulty host sends to a command within 4 s."""
        limit = unittest.mock.patch.object(
            client_module, "MAX_BODY_BYTES", MAX_BODY_BYTES
        )
        for parser in PARSERS:
            for name, self.data in ENDLESS.items():
                patch = unittest.mock.patch.object(
                    client_proto, "HttpResponseParser", parser
                )
                with self.subTest(name, parser=parser.__module__), limit, patch:
                    await self.check_given_up()
