import asyncio
import contextlib
import types
import unittest

import aiohttp

from hemlockhoist.base import (
    Clock,
    DispatchError,
    InvariantLog,
    PeerError,
    Refused,
    ResultCode,
    SuspendAwareClock,
)
from hemlockhoist.base.metrics import Metrics
from hemlockhoist.base.traces import Traces
from hemlockhoist.decisions.entry import RelayCandidate, RelayCause, UpstreamLinks
from hemlockhoist.messages import NotHome, RelayOffer
from hemlockhoist.relays import (
    RelayClient,
    RelayFrames,
    RelayRefused,
    RelayRules,
    RelayServer,
)
from hemlockhoist.relays.client import RELAY_PATH
from hemlockhoist.upstreams import (
    DispatchRegister,
    SendGuard,
    UpstreamCall,
    UpstreamClient,
)

KEY = b"secret"
POOL = "halls"
HEADER = "X-Request-Id"
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nhall"
GRANT_MS = 2_000


class Upstream:
    """Records requests and answers each with fixed bytes."""

    def __init__(self):
        self.requests = []
        self.answer = ANSWER
        self.connected = asyncio.Event()
        self.address = ""
        self._server = None

    async def start(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    async def close(self):
        self._server.close()

    async def _serve(self, reader, writer):
        self.connected.set()
        with contextlib.suppress(asyncio.IncompleteReadError, OSError):
            head = await reader.readuntil(b"\r\n\r\n")
            length = 0
            for line in head.decode().lower().split("\r\n"):
                if line.startswith("content-length: "):
                    length = int(line.split(": ")[1])
            self.requests.append((head, await reader.readexactly(length)))
            if self.answer is None:
                writer.transport.abort()
                return
            writer.write(self.answer)
            await writer.drain()
        writer.close()


class Host:
    """One host: a relay server, a relay client and a client of upstreams."""

    def __init__(self, host_id, skipped_ms):
        self.clock = Clock.from_running_loop()
        self.context = types.SimpleNamespace(
            clock=self.clock,
            metrics=Metrics(None),
            traces=Traces.from_config(None, 0, host_id),
            leaving=False,
            open_requests=0,
        )
        self.register = DispatchRegister(InvariantLog(fatal=True))
        self.links = UpstreamLinks()
        self.upstreams = UpstreamClient(HEADER, connect_timeout_ms=200)
        frames = RelayFrames(KEY, host_id, "1", self.clock)
        boot_clock = SuspendAwareClock(
            lambda: (self.clock.now_ms() + skipped_ms[0]) * 1_000_000
        )
        self.server = RelayServer(
            "127.0.0.1:0", frames, self.context, boot_clock, self.register
        )
        self.client = RelayClient(frames, HEADER)
        self.host_id = host_id

    async def start(self):
        for part in (self.upstreams, self.server, self.client):
            await part.start()
        self.server.serve(self.upstreams, self.links, RelayRules(self.context))

    async def close(self):
        for part in (self.client, self.server, self.upstreams):
            await part.close()

    @property
    def candidate(self):
        return RelayCandidate(self.host_id, self.server.address)


class RelayingTestCase(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        # Time for which the relaying host was suspended.
        self.skipped_ms = [0]
        self.upstream = Upstream()
        self.entry = Host("entry:1", self.skipped_ms)
        self.helper = Host("helper:1", self.skipped_ms)
        for part in (self.upstream, self.entry, self.helper):
            await part.start()
            self.addAsyncCleanup(part.close)

    def guard(self, request_id="r1/1", on_dispatch=None):
        clock = self.entry.clock
        expires_ms = clock.now_ms() + GRANT_MS
        return SendGuard(
            clock, expires_ms, self.entry.register, request_id, on_dispatch
        )

    def offer(self, request_id="r1/1", **fields):
        values = {
            "request_id": request_id,
            "call_id": "r1",
            "pool": POOL,
            "upstream_id": "u1",
            "address": self.upstream.address,
            "expires_in_ms": GRANT_MS,
            "remaining_ms": 2_000,
            "method": "POST",
            "path": "/halls?day=1",
            "headers": (("X-Customer", "aulas"),),
            "body_bytes": 4,
        }
        return RelayOffer(**(values | fields))

    def call(self):
        return UpstreamCall(
            address=self.upstream.address,
            method="POST",
            path="/halls?day=1",
            body=b"body",
            request_id="r1",
            idle_timeout_ms=2_000,
        )

    async def relay(self, guard=None, offer=None):
        offer, candidate = offer or self.offer(), self.helper.candidate
        relayed = await self.entry.client.open(candidate, offer)
        try:
            response = await relayed.send(self.call(), guard or self.guard())
            return response.status, await response.read(1_000)
        finally:
            relayed.close()


class RelayTests(RelayingTestCase):
    async def test_request_and_answer_pass_unchanged(self):
        self.assertEqual(await self.relay(), (200, b"hall"))
        ((head, body),) = self.upstream.requests
        self.assertTrue(head.startswith(b"POST /halls?day=1 HTTP/1.1\r\n"))
        self.assertIn(b"X-Customer: aulas\r\n", head)
        self.assertEqual(body, b"body")

    async def test_relayed_answer_is_not_read_while_its_caller_is_waited_for(self):
        """Guards against a slow caller's stream that ends as it comes over a relay."""
        head, body = ANSWER.rsplit(b"\r\n\r\n", 1)
        head = head.replace(b"Content-Length: 4", b"Content-Length: 400000")
        self.upstream.answer = head + b"\r\n\r\n" + 100_000 * body
        relayed = await self.entry.client.open(self.helper.candidate, self.offer())
        try:
            response = await relayed.send(self.call(), self.guard())
            response.pause()
            unread_bytes = response.unread_bytes
            await asyncio.sleep(0.3)
            self.assertEqual(response.unread_bytes, unread_bytes)
            response.resume()
            self.assertEqual(len(await response.read(1_000_000)), 400_000)
            self.assertEqual(response.unread_bytes, 0)
        finally:
            relayed.close()

    async def test_nothing_is_sent_under_a_grant_that_no_longer_holds(self):
        """Guards against a key that was revoked while another host connected."""

        def revoked():
            raise Refused("the key was revoked", ResultCode.GRANT_EXPIRED)

        guard = self.guard(on_dispatch=revoked)
        with self.assertRaises(Refused):
            await self.relay(guard)
        self.assertFalse(guard.dispatched)
        await self.upstream.connected.wait()
        self.assertEqual(self.upstream.requests, [])

    async def test_host_that_was_suspended_does_not_send_late(self):
        """Guards against a request that runs after its caller's key is revoked."""

        def suspend():
            self.skipped_ms[0] += 5_000

        with self.assertRaises(DispatchError) as caught:
            await self.relay(self.guard(on_dispatch=suspend))
        self.assertIs(caught.exception.code, ResultCode.OUTCOME_UNKNOWN)
        self.assertEqual(self.upstream.requests, [])

    async def test_offer_that_arrives_twice_is_carried_out_once(self):
        """Guards against help that arrives twice, and books a hall twice."""
        await self.relay()
        with self.assertRaises(RelayRefused) as caught:
            await self.relay(self.guard("r1/1-again"))
        self.assertIs(caught.exception.cause, RelayCause.EXPIRED)
        self.assertEqual(len(self.upstream.requests), 1)

    async def test_upstream_that_drops_a_relayed_request_is_told_as_such(self):
        """Guards against a second connection, on which the library sends it again."""
        self.upstream.answer = None
        with self.assertRaises(DispatchError) as caught:
            await self.relay(offer=self.offer(method="GET", body_bytes=0))
        self.assertIn("the connection was lost", caught.exception.message)
        self.assertEqual(len(self.upstream.requests), 1)

    async def test_dead_upstream_is_reported_by_a_host_that_reaches_others(self):
        await self.upstream.close()
        other = Upstream()
        await other.start()
        self.addAsyncCleanup(other.close)
        self.helper.links.on_connected(POOL, "u2", other.address, 0)
        with self.assertRaises(RelayRefused) as caught:
            await self.relay()
        self.assertIs(caught.exception.cause, RelayCause.UNREACHABLE)

    async def test_host_that_has_lost_its_links_since_is_no_witness(self):
        """Guards against a dead upstream by the word of a host that was just cut."""
        await self.upstream.close()
        self.helper.links.on_connected(POOL, "u2", self.upstream.address, 0)
        with self.assertRaises(RelayRefused) as caught:
            await self.relay()
        self.assertIs(caught.exception.cause, RelayCause.NO_LINK)

    async def test_host_that_reaches_nothing_is_no_witness(self):
        """Guards against a dead upstream by the word of another cut host."""
        await self.upstream.close()
        for _ in range(2):
            with self.assertRaises(RelayRefused) as caught:
                await self.relay()
            self.assertIs(caught.exception.cause, RelayCause.NO_LINK)

    async def test_host_that_leaves_relays_nothing_new(self):
        self.helper.context.leaving = True
        with self.assertRaises(RelayRefused) as caught:
            await self.relay()
        self.assertIs(caught.exception.cause, RelayCause.LEAVING)

    async def test_refusal_of_an_offer_that_was_withdrawn_is_no_error(self):
        """Guards against an unexpected error for each offer that was withdrawn."""
        server = self.helper.server

        class WithdrawingRules(RelayRules):
            def refusal(self, offer):
                for connection in server._http.connections:
                    connection.transport.abort()
                return RelayCause.LEAVING

        server.rules = WithdrawingRules(self.helper.context)
        with (
            self.assertNoLogs("aiohttp.server"),
            self.assertRaises(RelayRefused) as caught,
        ):
            await self.relay()
        self.assertIs(caught.exception.cause, RelayCause.SILENT)

    async def test_silent_host_is_given_up_before_anything_is_sent(self):
        async def ignore(reader, writer):
            await reader.read()
            writer.close()

        server = await asyncio.start_server(ignore, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        candidate = RelayCandidate("helper:1", f"{host}:{port}")
        with self.assertRaises(RelayRefused) as caught:
            await self.entry.client.open(candidate, self.offer())
        self.assertIs(caught.exception.cause, RelayCause.SILENT)
        server.close()

    async def test_answer_without_length_that_is_reset_does_not_look_whole(self):
        self.upstream.answer = b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhall"
        with self.assertRaises(DispatchError):
            await self.relay()

    async def test_check_sends_nothing(self):
        offer = self.offer(is_check=True)
        relayed = await self.entry.client.open(self.helper.candidate, offer)
        relayed.close()
        await self.upstream.connected.wait()
        self.assertEqual(self.upstream.requests, [])


class MalformedOfferTests(RelayingTestCase):
    async def post(self, data):
        url = f"http://{self.helper.server.address}{RELAY_PATH}"
        async with (
            aiohttp.ClientSession() as session,
            session.post(url, data=data) as response,
        ):
            return response.status

    async def test_bytes_that_are_no_frame_are_refused(self):
        for data in (b"", b"\x00\x00", b"\xff" * 64, b"\x00\x00\x00\x03abc"):
            with self.subTest(data=data):
                self.assertEqual(await self.post(data), 400)

    async def test_offer_with_another_key_is_refused(self):
        """Guards against callers who make a host send what they like to upstreams."""
        frames = RelayFrames(b"other", "entry:1", "1", self.entry.clock)
        frame = frames.encode(self.offer(), "helper:1")
        self.assertEqual(await self.post(frame), 400)
        self.assertFalse(self.upstream.connected.is_set())

    async def test_message_of_another_type_is_refused(self):
        frames = RelayFrames(KEY, "entry:1", "1", self.entry.clock)
        message = NotHome(pool=POOL, request_id="r1", home_host="")
        self.assertEqual(await self.post(frames.encode(message, "helper:1")), 400)

    async def test_frame_for_another_host_is_not_read(self):
        frames = RelayFrames(KEY, "entry:1", "1", self.entry.clock)
        frame = frames.encode(self.offer(), "third:1")
        reader = asyncio.StreamReader()
        reader.feed_data(frame)
        reader.feed_eof()
        with self.assertRaises(PeerError):
            await frames.read(reader)
