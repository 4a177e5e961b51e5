"""End-to-end tests of breaks that must not look like the end of an answer."""

import asyncio
import unittest

from hemlockhoist.standins.published import Site, route
from hemlockhoist.standins.published.endless import chunk
from hemlockhoist.standins.published.links import LinkMode
from hemlockhoist.standins.published.raw import (
    RawReplica,
    call_raw,
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
