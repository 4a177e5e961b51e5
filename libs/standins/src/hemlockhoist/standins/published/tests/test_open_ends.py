"""End-to-end tests of unframed streams whose upstream holds the connection open."""

import asyncio
import unittest

from hemlockhoist.standins.published import Site, route
from hemlockhoist.standins.published.endless import chunk
from hemlockhoist.standins.published.raw import LAST_CHUNK, RawReplica, call_raw
from hemlockhoist.standins.published.tests.test_answer_ends import (
    CHUNKED,
    EVENTS,
    UNFRAMED,
    event,
    numbers,
    sends_events,
)

STREAM = {"resumable": True, "timeout_ms": 5_000}
REPORT = route("report", "asistente", "streaming", **STREAM)
# May be sent to a third upstream.
SURVEY = route("survey", "asistente", "streaming", max_attempts=3, **STREAM)
HALF = EVENTS // 2
# Less than the deadline of the calls, which is 4 s.
MAX_S = 3.2
OPEN_S = 10.0
SILENCE_S = 2.6


def sends(replica_id, data, framing=UNFRAMED, rest=None, is_last=False):
    """Return a replica that sends the same to all requests.

    Parameters
    ==========
    replica_id : str
    data : bytes
    framing : str, optional
        Header lines.
    rest : bytes, optional
        Sent after a silence; the connection is held open if it is given.
    is_last : bool, optional
        Whether it accepts no more connections once it has answered.
    """

    async def send(received, writer):
        writer.write(sender.head(received, framing=framing))
        writer.write(data if framing == UNFRAMED else chunk(data))
        await writer.drain()
        if rest is not None:
            await asyncio.sleep(SILENCE_S)
            writer.write(rest)
            await writer.drain()
            await asyncio.sleep(0.05 if rest else OPEN_S)
        if is_last:
            sender.stop_listening()

    sender = RawReplica(replica_id, send, events=EVENTS)
    return sender


def sends_slowly(replica_id, framing):
    """Return a replica that sends all events to each request, in small parts."""

    async def send(received, writer):
        writer.write(sender.head(received, framing=framing))
        for begin in range(0, len(WHOLE), 40):
            data = WHOLE[begin : begin + 40]
            writer.write(data if framing == UNFRAMED else chunk(data))
            await writer.drain()
            await asyncio.sleep(0.02)
        if framing == CHUNKED:
            writer.write(LAST_CHUNK)

    sender = RawReplica(replica_id, send, events=EVENTS)
    return sender


def events(first, last):
    return b"".join(event(number) for number in range(first, last + 1))


WHOLE = events(1, EVENTS)


class OpenEndTests(unittest.IsolatedAsyncioTestCase):
    async def call(self, *replicas, path="/report/1"):
        """Send a request; return its answer and the seconds until its end."""
        loop = asyncio.get_running_loop()
        sites = {"asistente": list(replicas), "reservas": []}
        async with Site(sites, [REPORT, SURVEY]) as site:
            begin_s = loop.time()
            answer = await call_raw(site, path, method="POST", body=b"x")
            return answer, loop.time() - begin_s

    async def check_ends(self, second):
        """Check that a whole stream ends in order, and before its deadline."""
        answer, taken_s = await self.call(sends("a", WHOLE, rest=b""), second)
        self.assertEqual(len(second.ran), 1)
        self.assertEqual(numbers(answer), list(range(1, EVENTS + 1)))
        self.assertEqual((answer.is_reset, answer.is_unframed), (False, True))
        self.assertLess(taken_s, MAX_S)

    async def test_stream_ends_if_the_next_upstream_states_that_nothing_follows(self):
        """Guards against a whole stream that waits for its time limit."""
        await self.check_ends(sends_events("b", EVENTS, "Content-Length: 0\r\n"))

    async def test_stream_ends_if_the_next_upstream_has_nothing_to_add(self):
        """Guards against a whole stream that is cut at its time limit."""
        await self.check_ends(sends("b", b""))

    async def test_stream_ends_if_the_next_upstream_sends_the_same_events(self):
        """Guards against a whole stream that is cut at its time limit."""
        for data in (WHOLE, event(EVENTS)):
            with self.subTest(data=data):
                await self.check_ends(sends("b", data))

    async def check_goes_on(self, second, begun=b""):
        """Check that a stream goes on after the silence of its upstream."""
        rest = events(HALF + 1, EVENTS)[len(begun) :]
        first = sends("a", events(1, HALF) + begun, rest=rest)
        answer, _ = await self.call(first, second)
        self.assertEqual(len(second.ran), 1)
        self.assertEqual(numbers(answer), list(range(1, EVENTS + 1)))
        self.assertFalse(answer.is_reset)

    async def test_silent_upstream_is_not_given_up_for_one_that_ends(self):
        """Guards against a stream that ends in its middle as another was killed."""
        await self.check_goes_on(sends("b", b"", is_last=True))

    async def test_silent_upstream_is_not_given_up_for_events_that_the_caller_has(self):
        """Guards against a stream that ends in its middle as another sent its begin."""
        for last, is_last in ((3, False), (HALF, True)):
            with self.subTest(last=last):
                await self.check_goes_on(sends("b", events(1, last), is_last=is_last))
        second = sends("b", events(1, 3) + event(4)[:9])
        await self.check_goes_on(second)
        await self.check_goes_on(sends_events("b", 3, CHUNKED))

    async def test_upstream_that_begins_anew_continues_a_stalled_stream(self):
        """Guards against a stream that waits for a dead upstream beside a sound one."""
        for framing in (UNFRAMED, CHUNKED):
            with self.subTest(framing=framing):
                first = sends("a", events(1, HALF), rest=b"")
                answer, _ = await self.call(first, sends_slowly("b", framing))
                self.assertEqual(numbers(answer), list(range(1, EVENTS + 1)))
                self.assertFalse(answer.is_reset)

    async def test_silent_upstream_is_not_given_up_in_the_middle_of_an_event(self):
        """Guards against an empty answer that ends a stream whose next event began."""
        await self.check_goes_on(sends("b", b""), event(HALF + 1)[:9])

    async def test_stream_that_began_in_chunks_is_cut(self):
        """Guards against an uncertain end that is stated as a certain one."""
        first = sends_events("a", HALF, CHUNKED)
        second = sends("b", events(HALF + 1, EVENTS), rest=b"")
        replicas = (first, second, sends("c", b""))
        answer, taken_s = await self.call(*replicas, path="/survey/1")
        self.assertEqual(numbers(answer), list(range(1, EVENTS + 1)))
        self.assertFalse(answer.states_end or answer.is_unframed)
        self.assertLess(taken_s, MAX_S)

    async def test_silent_upstream_that_sends_chunks_is_not_given_up(self):
        """Guards against an empty answer that ends a stream before its last chunk."""
        first = sends("a", events(1, HALF), CHUNKED, rest=chunk(events(6, EVENTS)))
        answer, _ = await self.call(first, sends("b", b""))
        self.assertEqual(numbers(answer), list(range(1, EVENTS + 1)))
