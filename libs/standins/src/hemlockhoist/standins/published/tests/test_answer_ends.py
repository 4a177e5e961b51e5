"""End-to-end tests of answers of upstreams whose end only their connection shows."""

import asyncio
import unittest

from hemlockhoist.standins.published import Replica, Site, route
from hemlockhoist.standins.published.endless import chunk
from hemlockhoist.standins.published.raw import RawReplica, call_raw

REPORT = route("report", "asistente", "streaming", resumable=True, timeout_ms=5_000)
ROUTES = [REPORT]
EVENTS = 10
UNFRAMED = "Connection: close\r\n"


def event(number):
    return b"id: %d\ndata: piece %d\n\n" % (number, number)


def first_number(received):
    return int(received.headers.get("last-event-id", 0)) + 1


def sends_events(replica_id, last, framing=UNFRAMED):
    """Return a replica that sends events up to one, and ends the connection."""

    async def send(received, writer):
        writer.write(sender.head(received, framing=framing))
        for number in range(first_number(received), last + 1):
            data = event(number)
            writer.write(data if framing == UNFRAMED else chunk(data))
            await writer.drain()
            await asyncio.sleep(0.002)

    sender = RawReplica(replica_id, send, events=EVENTS)
    return sender


def numbers(answer):
    """Return the numbers of the events in an answer, in order."""
    lines = answer.body.split(b"\n")
    return [int(line[4:]) for line in lines if line.startswith(b"id: ")]


class StreamEndTests(unittest.IsolatedAsyncioTestCase):
    async def call(self, path, *replicas):
        async with Site({"asistente": list(replicas)}, ROUTES) as site:
            return await call_raw(site, path, method="POST", body=b"x")

    async def test_stream_closed_between_events_is_continued_to_its_end(self):
        """Guards against a stream that looks complete before its last event."""
        cut = sends_events("a", EVENTS // 2)
        answer = await self.call("/report/1", cut, Replica("good", events=EVENTS))
        self.assertEqual(len(cut.ran), 1)
        self.assertFalse(answer.is_reset)
        self.assertEqual(numbers(answer), list(range(1, EVENTS + 1)))

    async def test_whole_stream_without_chunks_is_served(self):
        """Guards against whole streams that are lost as their end is uncertain."""
        whole = sends_events("a", EVENTS)
        answer = await self.call("/report/1", whole, Replica("good", events=EVENTS))
        self.assertEqual((answer.status, answer.is_reset), (200, False))
        self.assertEqual(numbers(answer), list(range(1, EVENTS + 1)))
