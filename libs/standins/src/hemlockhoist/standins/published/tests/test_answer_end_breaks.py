"""End-to-end tests of breaks that must not look like the end of an answer."""

import asyncio
import socket
import unittest
from unittest import mock

from hemlockhoist.base.metrics_table import ANSWERS_ENDED
from hemlockhoist.entry import caller_buffer
from hemlockhoist.standins.published import Site, route
from hemlockhoist.standins.published.endless import chunk
from hemlockhoist.standins.published.links import LinkMode
from hemlockhoist.standins.published.raw import (
    RawReplica,
    call_raw,
    read_to_end,
    request_bytes,
)
from hemlockhoist.standins.published.tests.test_relays import CutSite

LOOKUP = route("check-free", "reservas")
BOOKING = route("book-hall", "reservas", "non_idempotent", max_attempts=1)
REPORT = route("report", "asistente", "streaming", resumable=True, timeout_ms=5_000)
SUMMARY = route("summary", "asistente", "streaming", timeout_ms=5_000, max_attempts=1)
ROUTES = [LOOKUP, BOOKING, REPORT, SUMMARY]
EVENTS = 10
EVENT_S = 0.05
UNFRAMED = "Connection: close\r\n"
CHUNKED = "Transfer-Encoding: chunked\r\n"
# Far more than the kernel buffers for a connection.
LONG_BYTES = 7_000_000


def event(number, size=0):
    return b"id: %d\ndata: piece %d%s\n\n" % (number, number, b"x" * size)


def events(first, last, size=0):
    return b"".join(event(number, size) for number in range(first, last + 1))


def sends(replica_id, data, framing=UNFRAMED, hold_s=0):
    """Return a replica that sends a head and bytes, and ends its connection later."""

    async def send(received, writer):
        writer.write(sender.head(received, framing=framing) + data)
        await writer.drain()
        await asyncio.sleep(hold_s)

    sender = RawReplica(replica_id, send, events=EVENTS)
    return sender


def sends_slowly(replica_id, framing):
    """Return a replica that sends all events, one at a time."""

    async def send(received, writer):
        writer.write(sender.head(received, framing=framing))
        for number in range(1, EVENTS + 1):
            data = event(number)
            writer.write(data if framing == UNFRAMED else chunk(data))
            await writer.drain()
            await asyncio.sleep(EVENT_S)

    sender = RawReplica(replica_id, send, events=EVENTS)
    return sender


def numbers(answer):
    """Return the numbers of the events in an answer, in order."""
    lines = answer.body.split(b"\n")
    return [int(line[4:].split()[0]) for line in lines if line.startswith(b"id: ")]


class StreamBreakTests(unittest.IsolatedAsyncioTestCase):
    async def call(self, path, *replicas, **fields):
        async with Site({"asistente": list(replicas), "reservas": []}, ROUTES) as site:
            return await call_raw(site, path, method="POST", body=b"x", **fields)

    async def test_resumed_stream_without_new_events_does_not_look_complete(self):
        """Guards against a last chunk for events that no upstream has sent."""
        first = sends("a", events(1, 5))
        second = sends("b", b"", CHUNKED, hold_s=2)
        answer = await self.call("/report/1", first, second, Last_Event_Id="5")
        self.assertEqual(answer.status, 200)
        self.assertFalse(answer.states_end)

    async def test_stream_whose_next_event_had_begun_does_not_end_at_the_deadline(self):
        """Guards against an orderly end after a part of a further event."""
        for framing in (UNFRAMED, CHUNKED):
            rest = b"id: 6\nda"
            rest = rest if framing == UNFRAMED else chunk(rest)
            second = sends("b", rest, framing, hold_s=3)
            with self.subTest(framing=framing):
                first = sends("a", events(1, 5))
                answer = await self.call("/report/1", first, second, Deadline_Ms="1200")
                self.assertEqual(len(second.ran), 1)
                self.assertTrue(answer.is_reset)


class RelayBreakTests(unittest.IsolatedAsyncioTestCase):
    async def call_while_relaying_host_stops(self, path, framing):
        replicas = {
            "reservas": [sends_slowly("s", framing)],
            "asistente": [sends_slowly("e", framing)],
        }
        async with CutSite(replicas=replicas) as cut:
            cut.links[0].cut(cut.all_replicas, LinkMode.REFUSED)
            call = call_raw(cut.site, path, method="POST", body=b"x")
            task = asyncio.create_task(call)
            async with asyncio.timeout(2):
                while not cut.ran(path):
                    await asyncio.sleep(0.01)
            await asyncio.sleep(EVENTS / 2 * EVENT_S)
            for host in cut.site.hosts[1:]:
                if host.relay_server.relayed_count:
                    await host.close()
            return await task

    async def test_stop_of_a_relaying_host_does_not_end_an_answer(self):
        """Guards against a part of an answer that ends in order as a host stops."""
        for framing in (UNFRAMED, CHUNKED):
            for path in ("/summary/1", "/book-hall/1"):
                with self.subTest(path=path, framing=framing):
                    answer = await self.call_while_relaying_host_stops(path, framing)
                    is_cut = not answer.states_end and not answer.is_unframed
                    self.assertTrue(answer.is_reset or is_cut or answer.status == 502)

    async def test_relayed_answer_of_an_upstream_that_is_gone_is_not_passed_on(self):
        """Guards against an uncertain end after which nobody reaches the upstream."""

        async def send(received, writer):
            writer.write(dying.head(received, framing=UNFRAMED) + event(1))
            await writer.drain()
            if is_dying:
                dying.stop_listening()

        for is_dying, status in ((True, 502), (False, 200)):
            dying = RawReplica("s", send)
            replicas = {"reservas": [dying], "asistente": []}
            async with CutSite(replicas=replicas) as cut:
                cut.links[0].cut([dying], LinkMode.REFUSED)
                answer = await call_raw(cut.site, "/book-hall/1", method="POST")
            with self.subTest(is_dying=is_dying):
                self.assertEqual(len(dying.ran), 1)
                self.assertEqual(answer.status, status)


class SlowCallerTests(unittest.IsolatedAsyncioTestCase):
    async def call_slowly(self, site, path, wait_s, version="HTTP/1.1", **fields):
        """Send a request, read nothing for a while, and then the whole answer."""
        address, _, port = site.hosts[0].settings.caller_address.rpartition(":")
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
        sock.setblocking(False)
        await asyncio.get_running_loop().sock_connect(sock, (address, int(port)))
        reader, writer = await asyncio.open_connection(sock=sock, limit=1_024)
        writer.write(request_bytes(path, "POST", b"x", version, **fields))
        await asyncio.sleep(wait_s)
        try:
            return await read_to_end(reader)
        finally:
            writer.close()

    async def test_cut_of_a_slow_caller_does_not_end_an_unframed_body(self):
        """Guards against a part of a body whose connection ends in order."""
        replica = sends("a", b"x" * LONG_BYTES)
        patch = mock.patch.object(caller_buffer, "UNREAD_WITH_MEMORY_TIMEOUT_MS", 300)
        with patch:
            async with Site({"asistente": [], "reservas": [replica]}, ROUTES) as site:
                answer = await self.call_slowly(site, "/check-free/1", 1)
        self.assertLess(len(answer.body), LONG_BYTES)
        self.assertTrue(answer.is_reset)

    async def call_long_stream(self, framing, version):
        data = b"".join(events(n, n, 200_000) for n in range(1, 36))
        if framing == CHUNKED:
            data = chunk(data) + b"0\r\n\r\n"
        replica = sends("a", data, framing)
        patch = mock.patch.object(caller_buffer, "MAX_BUFFER_BYTES", 2 * LONG_BYTES)
        with patch:
            async with Site({"asistente": [replica], "reservas": []}, ROUTES) as site:
                answer = await self.call_slowly(
                    site, "/summary/1", 2, version, Deadline_Ms="1200"
                )
                self.totals = dict(site.hosts[0].context.metrics.totals)
        return answer

    async def test_whole_stream_without_chunks_outlives_its_deadline(self):
        """Guards against a whole stream that is reset as its caller reads slowly."""
        answer = await self.call_long_stream(CHUNKED, "HTTP/1.0")
        self.assertEqual(numbers(answer), list(range(1, 36)))
        self.assertFalse(answer.is_reset)

    async def test_whole_stream_with_an_uncertain_end_is_counted_once(self):
        answer = await self.call_long_stream(UNFRAMED, "HTTP/1.1")
        self.assertEqual(numbers(answer), list(range(1, 36)))
        self.assertEqual(self.totals[f"{ANSWERS_ENDED.name}.connection"], 1)


class HedgedEndTests(unittest.IsolatedAsyncioTestCase):
    def replicas(self, first_s):
        """Return two replicas of unframed answers, of which the later one is silent."""
        ran = []

        def make(replica_id):
            async def send(received, writer):
                ran.append(replica_id)
                if len(ran) > 1:
                    await asyncio.sleep(10)
                await asyncio.sleep(first_s)
                writer.write(sender.head(received, framing=UNFRAMED) + b"whole")

            sender = RawReplica(replica_id, send)
            return sender

        return ran, {"asistente": [], "reservas": [make("a"), make("b")]}

    async def test_silent_hedge_does_not_hold_an_unframed_answer(self):
        """Guards against a whole answer that is dropped for a second one."""
        ran, replicas = self.replicas(first_s=0.3)
        async with Site(replicas, ROUTES, settings={"hedge_permille": 200}) as site:
            context = site.hosts[0].context
            now_ms = context.clock.now_ms()
            for _ in range(60):
                context.hedging.count_request()
                context.hedging.observe("check-free", "reservas", 30, now_ms)
            answer = await call_raw(site, "/check-free/1")
        self.assertEqual(len(ran), 2)
        self.assertEqual((answer.status, answer.body), (200, b"whole"))

    async def test_unframed_answers_tell_the_usual_time(self):
        """Guards against a service without lengths whose slow calls are not hedged."""
        replica = sends("a", b"whole")
        replicas = {"asistente": [], "reservas": [replica]}
        async with Site(replicas, ROUTES, settings={"hedge_permille": 200}) as site:
            for number in range(60):
                await call_raw(site, f"/check-free/{number}")
            context = site.hosts[0].context
            now_ms = context.clock.now_ms()
            delay_ms = context.hedging.delay_ms("check-free", "reservas", now_ms)
        self.assertIsNotNone(delay_ms)
