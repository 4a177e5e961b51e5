"""End-to-end tests of answers of upstreams whose end only their connection shows."""

import asyncio
import itertools
import unittest

from hemlockhoist.listeners import set_reset_on_close
from hemlockhoist.standins.published import Replica, Site, route
from hemlockhoist.standins.published.endless import chunk
from hemlockhoist.standins.published.raw import LAST_CHUNK, RawReplica, call_raw

LOOKUP = route("check-free", "reservas")
BOOKING = route("book-hall", "reservas", "non_idempotent", max_attempts=1)
REPORT = route("report", "asistente", "streaming", resumable=True, timeout_ms=5_000)
SUMMARY = route("summary", "asistente", "streaming", timeout_ms=5_000, max_attempts=1)
# May be sent to a third upstream.
SURVEY = route(
    "survey",
    "asistente",
    "streaming",
    resumable=True,
    timeout_ms=5_000,
    max_attempts=3,
)
ROUTES = [LOOKUP, BOOKING, REPORT, SUMMARY, SURVEY]
EVENTS = 10
BODY = b"x" * 4_000
UNFRAMED = "Connection: close\r\n"
CHUNKED = "Transfer-Encoding: chunked\r\n"


def event(number):
    return b"id: %d\ndata: piece %d\n\n" % (number, number)


def first_number(received):
    return int(received.headers.get("last-event-id", 0)) + 1


def sends_events(replica_id, last, framing=UNFRAMED, rest=b""):
    """Return a replica that sends events up to one, and closes the connection."""

    async def send(received, writer):
        writer.write(sender.head(received, framing=framing))
        for number in range(first_number(received), last + 1):
            data = event(number)
            writer.write(data if framing == UNFRAMED else chunk(data))
            await writer.drain()
            await asyncio.sleep(0.002)
        if rest:
            writer.write(rest if framing == UNFRAMED else chunk(rest))

    sender = RawReplica(replica_id, send, events=EVENTS)
    return sender


def sends_part(replica_id, begin, last, framing):
    """Return a replica that sends the same events to all, and ends in order."""

    async def send(received, writer):
        data = b"".join(event(number) for number in range(begin, last + 1))
        is_chunked = framing == CHUNKED
        writer.write(sender.head(received, framing=framing))
        writer.write(chunk(data) + LAST_CHUNK if is_chunked else data)
        await writer.drain()

    sender = RawReplica(replica_id, send, events=EVENTS)
    return sender


def sends_body(size):
    """Return a replica that sends so much of a body without a length, and ends."""

    async def send(received, writer):
        writer.write(sender.head(received, framing=UNFRAMED) + BODY[:size])
        await writer.drain()

    sender = RawReplica("a", send)
    return sender


def numbers(answer):
    """Return the numbers of the events in an answer, in order."""
    lines = answer.body.split(b"\n")
    return [int(line[4:]) for line in lines if line.startswith(b"id: ")]


class StreamEndTests(unittest.IsolatedAsyncioTestCase):
    async def call(self, path, *replicas, **fields):
        async with Site({"asistente": list(replicas), "reservas": []}, ROUTES) as site:
            return await call_raw(site, path, method="POST", body=b"x", **fields)

    async def test_stream_closed_between_events_is_continued_to_its_end(self):
        """Guards against a stream that looks complete before its last event."""
        cut = sends_events("a", EVENTS // 2)
        answer = await self.call("/report/1", cut, Replica("good", events=EVENTS))
        self.assertEqual(len(cut.ran), 1)
        self.assertFalse(answer.is_reset)
        self.assertEqual(numbers(answer), list(range(1, EVENTS + 1)))

    async def test_closed_stream_that_may_not_be_resumed_does_not_look_complete(self):
        """Guards against a stream that looks complete before its last event."""
        answer = await self.call("/summary/1", sends_events("a", EVENTS // 2))
        self.assertFalse(answer.states_end)
        self.assertEqual(numbers(answer), list(range(1, EVENTS // 2 + 1)))

    async def test_closed_stream_that_none_can_continue_does_not_look_complete(self):
        """Guards against a stream that looks complete before its last event."""
        first, second = sends_events("a", 4), sends_events("b", 7)
        answer = await self.call("/report/1", first, second)
        self.assertFalse(answer.states_end)

    async def test_closed_continuation_does_not_look_complete(self):
        """Guards against a continued stream that looks complete before its end."""
        first = sends_events("a", EVENTS // 2, CHUNKED)
        second = sends_events("b", 7)
        answer = await self.call("/report/1", first, second)
        self.assertFalse(answer.states_end)

    async def test_continuation_without_the_rest_does_not_look_complete(self):
        """Guards against an upstream that ends a stream whose next event had begun."""
        second = Replica("b", events=EVENTS // 2)
        for framing in (UNFRAMED, CHUNKED):
            first = sends_events("a", EVENTS // 2, framing, b"id: 6\nda")
            with self.subTest(framing=framing):
                answer = await self.call("/report/1", first, second)
                self.assertEqual(numbers(answer)[:5], list(range(1, 6)))
                self.assertTrue(answer.is_reset or not answer.states_end)
                self.assertTrue(answer.is_reset or not answer.is_unframed)

    async def test_continuation_that_ends_before_its_begin_is_no_end(self):
        """Guards against a stream that looks complete before its last event."""
        framings = (UNFRAMED, CHUNKED)
        for begun, framing, last in itertools.product(framings, framings, (1, 3, 4)):
            first = sends_events("a", EVENTS // 2, begun)
            second = sends_part("b", 1, last, framing)
            with self.subTest(begun=begun, framing=framing, last=last):
                answer = await self.call("/report/1", first, second)
                self.assertEqual(len(second.ran), 1)
                self.assertEqual(numbers(answer), list(range(1, 6)))
                self.assertFalse(answer.states_end)

    async def test_continuation_that_ends_early_is_followed_by_another(self):
        """Guards against a stream that is cut though an upstream can finish it."""
        for framing in (UNFRAMED, CHUNKED):
            first = sends_events("a", EVENTS // 2, CHUNKED)
            second = sends_part("b", 1, 3, framing)
            third = Replica("c", events=EVENTS)
            with self.subTest(framing=framing):
                answer = await self.call("/survey/1", first, second, third)
                self.assertEqual(numbers(answer), list(range(1, EVENTS + 1)))

    async def test_continuation_without_further_events_ends_the_stream(self):
        """Guards against whole streams that are cut before their last chunk."""
        for begin in (EVENTS // 2 + 1, EVENTS // 2, 1):
            first = sends_events("a", EVENTS // 2, CHUNKED)
            second = sends_part("b", begin, EVENTS // 2, CHUNKED)
            with self.subTest(begin=begin):
                answer = await self.call("/report/1", first, second)
                self.assertEqual(numbers(answer), list(range(1, 6)))
                self.assertTrue(answer.states_end)

    async def test_broken_stream_without_chunks_ends_visibly_broken(self):
        """Guards against a break that becomes an orderly end on the caller's side."""

        async def send(received, writer):
            writer.write(sender.head(received, framing=UNFRAMED) + event(1))
            await writer.drain()
            await asyncio.sleep(0.05)
            set_reset_on_close(writer.transport, True)
            writer.transport.abort()

        sender = RawReplica("a", send, events=EVENTS)
        answer = await self.call("/summary/1", sender)
        self.assertEqual((numbers(answer), answer.is_reset), ([1], True))

    async def test_broken_stream_to_an_old_caller_ends_visibly_broken(self):
        """Guards against a caller without chunks to which each break looks complete."""
        cut = sends_events("a", EVENTS // 2, CHUNKED)
        answer = await self.call("/summary/1", cut, version="HTTP/1.0")
        self.assertTrue(answer.is_unframed)
        self.assertTrue(answer.is_reset)

    async def test_whole_stream_without_chunks_is_served(self):
        """Guards against whole streams that are lost as their end is uncertain."""
        whole = sends_events("a", EVENTS)
        answer = await self.call("/report/1", whole, Replica("good", events=EVENTS))
        self.assertEqual((answer.status, answer.is_reset), (200, False))
        self.assertEqual(numbers(answer), list(range(1, EVENTS + 1)))


class PlainEndTests(unittest.IsolatedAsyncioTestCase):
    async def call(self, path, *replicas, **fields):
        async with Site({"asistente": [], "reservas": list(replicas)}, ROUTES) as site:
            return await call_raw(site, path, **fields)

    async def test_closed_body_is_not_vouched_for(self):
        """Guards against a part of a body that gets a length and looks complete."""
        for path, method in (("/check-free/1", "GET"), ("/book-hall/1", "POST")):
            with self.subTest(path=path):
                answer = await self.call(path, sends_body(2_000), method=method)
                self.assertFalse(answer.states_end and answer.status == 200)

    async def test_body_of_an_upstream_that_is_gone_is_not_passed_on(self):
        """Guards against a part of a body that a killed upstream left behind."""

        async def send(received, writer):
            writer.write(dying.head(received, framing=UNFRAMED) + BODY[:2_000])
            await writer.drain()
            dying.stop_listening()

        for path, method, status in (
            ("/check-free/1", "GET", 200),
            ("/book-hall/1", "POST", 502),
        ):
            dying, sound = RawReplica("a", send), Replica("b")
            with self.subTest(path=path):
                answer = await self.call(path, dying, sound, method=method)
                self.assertEqual(answer.status, status)
                self.assertNotIn(BODY[:2_000], answer.body)
                self.assertEqual(len(dying.ran), 1)

    async def test_whole_body_without_a_length_is_served(self):
        """Guards against whole bodies that are lost as their end is uncertain."""
        for path, method in (("/check-free/1", "GET"), ("/book-hall/1", "POST")):
            with self.subTest(path=path):
                answer = await self.call(path, sends_body(len(BODY)), method=method)
                self.assertEqual(answer.status, 200)
                self.assertEqual(answer.body, BODY)

    async def test_whole_long_body_without_a_length_is_served(self):
        """Guards against a reset that takes the rest of a whole body with it."""

        async def send(received, writer):
            writer.write(sender.head(received, framing=UNFRAMED) + BODY * 1_000)
            await writer.drain()

        sender = RawReplica("a", send)
        answer = await self.call("/check-free/1", sender)
        self.assertEqual((answer.status, answer.is_reset), (200, False))
        self.assertEqual(len(answer.body), len(BODY) * 1_000)
