"""End-to-end tests of upstreams that send a second answer within an unframed one."""

import asyncio
import unittest

from hemlockhoist.standins.published import Replica, Site, route
from hemlockhoist.standins.published.endless import chunk
from hemlockhoist.standins.published.raw import RawReplica, call_raw

REPORT = route("report", "asistente", "streaming", resumable=True, timeout_ms=5_000)
SUMMARY = route("summary", "asistente", "streaming", timeout_ms=5_000, max_attempts=1)
ROUTES = [REPORT, SUMMARY]
EVENTS = 10
DEADLINE_MS = "2500"
UNFRAMED = "Connection: close\r\n"
CHUNKED = "Transfer-Encoding: chunked\r\n"
OPEN_S = 10.0


def event(number):
    return b"id: %d\ndata: piece %d\n\n" % (number, number)


def events(first, last):
    return b"".join(event(number) for number in range(first, last + 1))


WHOLE = events(1, EVENTS)


def second_answers(head):
    """Return what an upstream may send beside its answer, by name.

    Parameters
    ==========
    head : callable
        Returns the bytes of a head with further header lines.
    """
    plain = b'{"a":1}'
    begun = events(1, 3)
    return {
        "plain": head("Content-Length: 7\r\n") + plain,
        "no body": head("Content-Length: 0\r\n"),
        "next event": head(UNFRAMED) + events(EVENTS + 1, EVENTS + 2),
        "stream": head(UNFRAMED) + begun,
        "chunked stream": head(CHUNKED) + chunk(begun) + b"0\r\n\r\n",
        "chunk of the next event": head(CHUNKED) + chunk(event(EVENTS + 1)),
        "line": plain + b"\n",
        "empty line": b"\r\n",
        "head alone": b"HTTP/1.1 200 OK\r\n\r\n",
    }


def sends_second(replica_id, name, at_byte, is_open):
    """Return a replica that sends something at a byte of an unframed stream.

    Parameters
    ==========
    replica_id : str
    name : str
        Of ``second_answers``.
    at_byte : int
    is_open : bool
        Whether the connection is held open behind all that is sent.
    """

    async def send(received, writer):
        def head(lines):
            return sender.head(received, framing=lines)

        writer.write(head(UNFRAMED) + WHOLE[:at_byte])
        await writer.drain()
        await asyncio.sleep(0.005)
        writer.write(second_answers(head)[name])
        await writer.drain()
        await asyncio.sleep(0.005)
        writer.write(WHOLE[at_byte:])
        await writer.drain()
        if is_open:
            await asyncio.sleep(OPEN_S)

    sender = RawReplica(replica_id, send, events=EVENTS)
    return sender


def stream_bytes(answer):
    """Return the body of an answer without the framing of chunks."""
    if answer.is_unframed:
        return answer.body
    data, found = answer.body, b""
    while data:
        size, _, data = data.partition(b"\r\n")
        found += data[: int(size, 16)]
        data = data[int(size, 16) + 2 :]
    return found


class SecondAnswerTests(unittest.IsolatedAsyncioTestCase):
    async def call(self, path, *replicas):
        async with Site({"asistente": list(replicas), "reservas": []}, ROUTES) as site:
            return await call_raw(
                site, path, method="POST", body=b"x", Deadline_Ms=DEADLINE_MS
            )

    def cases(self):
        """Return the names and places of second answers.

        Places are before the stream, between two of its events, within the names and
        the data of one, and behind the stream.
        """
        between = len(events(1, 5))
        places = (0, between, between + 2, between + 10, between + 14, len(WHOLE))
        names = second_answers(lambda lines: b"")
        return [(name, place) for name in names for place in places]

    async def check_resumable(self, name, place, is_open):
        first = sends_second("a", name, place, is_open)
        answer = await self.call("/report/1", first, Replica("b", events=EVENTS))
        self.assertEqual(stream_bytes(answer), WHOLE)
        self.assertFalse(answer.is_reset)

    async def test_second_answer_is_no_piece_of_a_resumable_stream(self):
        """Guards against a piece that no run made, and a stream that it ends."""
        for name, place in self.cases():
            with self.subTest(name=name, place=place):
                await self.check_resumable(name, place, is_open=False)

    async def test_second_answer_on_an_open_connection_holds_no_stream_up(self):
        """Guards against a whole stream whose caller waits until its time limit."""
        for name in second_answers(lambda lines: b""):
            with self.subTest(name=name):
                await self.check_resumable(name, len(WHOLE), is_open=True)

    async def test_second_answer_is_no_piece_of_a_stream_that_cannot_be_resumed(self):
        """Guards against a piece that no run made, and a part that looks whole."""
        for name, place in self.cases():
            with self.subTest(name=name, place=place):
                sender = sends_second("a", name, place, is_open=False)
                answer = await self.call("/summary/1", sender)
                found = stream_bytes(answer)
                self.assertTrue(WHOLE.startswith(found), found)
                is_whole = found == WHOLE
                self.assertTrue(is_whole or answer.is_reset or not answer.body)
