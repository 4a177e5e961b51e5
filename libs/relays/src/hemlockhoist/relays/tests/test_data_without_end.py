import asyncio
import contextlib
import unittest
import unittest.mock

from aiohttp import client_proto, http_parser

from hemlockhoist.base import Clock
from hemlockhoist.decisions.entry import RelayCandidate
from hemlockhoist.messages import RelayOffer
from hemlockhoist.relays import RelayClient, RelayFrames, RelayRefused

PARSERS = (http_parser.HttpResponseParser, http_parser.HttpResponseParserPy)
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
# What a relaying host sends at first, and then again and again; what it is refused for
# where the parser has no bound of its own.
ENDLESS = {
    "interim answers": (b"", b"HTTP/1.1 102 Processing\r\n\r\n" * 50, "a head of more"),
    "empty lines": (b"", b"\r\n" * 500, "a head of more"),
    "extension": (CHUNKED + b"1;", b"x" * 1_000, "outside of its body"),
    "size of a chunk": (CHUNKED, b"0" * 1_000, "size of a chunk"),
}
# Raised by the parser in Python.
OWN_BOUNDS = ("Got more than 8190 bytes", "Bad status line")
CLOSED_WITHIN_S = 5.0
OFFER = RelayOffer(
    request_id="r",
    call_id="c",
    pool="halls",
    upstream_id="u",
    address="127.0.0.1:1",
    method="GET",
    path="/",
    remaining_ms=5_000,
    expires_in_ms=5_000,
)


class RelayingHost:
    """A faulty host that answers offers with data without end."""

    def __init__(self, begin, part):
        self._begin, self._part = begin, part
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
            writer.write(self._begin)
            while True:
                writer.write(self._part)
                await writer.drain()
                await asyncio.sleep(0)
        self.connection_lost.set()
        writer.close()


class DataWithoutEndTests(unittest.IsolatedAsyncioTestCase):
    async def refusal(self, begin, part):
        """Return the reason for which a relaying host counts as unable to relay."""
        clock = Clock.from_running_loop()
        client = RelayClient(RelayFrames(b"k", "own", "1", clock), "X-Request-Id")
        await client.start()
        self.addAsyncCleanup(client.close)
        async with RelayingHost(begin, part) as host:
            with self.assertRaises(RelayRefused) as caught:
                await client.open(RelayCandidate("other", host.address), OFFER)
            async with asyncio.timeout(CLOSED_WITHIN_S):
                await host.connection_lost.wait()
        return caught.exception.reason

    async def test_relaying_host_that_sends_without_end_is_cut_off(self):
        """Guards against 173 MB of interim answers in the 0.45 s that an offer waits."""
        for parser in PARSERS:
            patch = unittest.mock.patch.object(
                client_proto, "HttpResponseParser", parser
            )
            for name, (begin, part, expected) in ENDLESS.items():
                with self.subTest(name, parser=parser), patch:
                    reason = await self.refusal(begin, part)
                    allowed = (expected, *OWN_BOUNDS)
                    self.assertTrue(any(text in reason for text in allowed), reason)
