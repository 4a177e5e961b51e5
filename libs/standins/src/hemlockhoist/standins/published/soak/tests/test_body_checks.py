import asyncio
import unittest

import aiohttp

from hemlockhoist.standins.published.replica import ReceivedRequest, Replica
from hemlockhoist.standins.published.soak.answer_ends import (
    AnswerEnd,
    new_connector,
    read_all,
)
from hemlockhoist.standins.published.soak.callers import REQUEST_KINDS, Call
from hemlockhoist.standins.published.soak.checks import RunChecker

LOOKUP, _, REPORT, _ = REQUEST_KINDS
EVENTS = [b"id: %d\ndata: piece %d\n\n" % (number, number) for number in (1, 2, 3)]
STREAM = b"".join(EVENTS)
BODY = b"answer of i-1 to /check-free/c1"
HEAD = b"HTTP/1.1 200 OK\r\nAttempt-Id: c1\r\nContent-Length: 2\r\n\r\n"
SECOND = HEAD + b"ok"
WHOLE_ENDS = (AnswerEnd.LENGTH, AnswerEnd.LAST_CHUNK, AnswerEnd.CLOSED)
BROKEN_ENDS = (AnswerEnd.BROKEN, AnswerEnd.ABANDONED)
# For which a connection stays open behind all parts.
OPEN_S = 0.2
NOT_SENT = "plain body that no run with its receipt has sent"


def received(replica_id, sent, is_cut=False):
    return ReceivedRequest(
        "GET",
        "/check-free/c1",
        {"attempt-id": "c1"},
        b"",
        replica_id=replica_id,
        is_cut=is_cut,
        sent=list(sent),
        beside=[SECOND],
    )


class BodyCheckTests(unittest.TestCase):
    """Each check is given a body that violates it, so that none passes trivially."""

    def violations(self, kind, body, end, *runs, surplus=(), **fields):
        values = {"status": 200, "receipt": "receipt-of-i-1", **fields}
        call = Call("c1", kind, "k1", "h", 0.0, body=body, end=end, **values)
        replica = Replica("i-1")
        replica.ran.extend(runs)
        checker = RunChecker([call], [replica], len(EVENTS))
        checker.check_bodies(surplus)
        return [text.partition(":")[0] for text in checker.violations]

    def stream_violations(self, body, end=AnswerEnd.LAST_CHUNK, runs=(EVENTS,)):
        items = [received(f"i-{n}", sent) for n, sent in enumerate(runs, 1)]
        return self.violations(REPORT, body, end, *items)

    def test_bodies_that_runs_have_sent(self):
        for end in (*WHOLE_ENDS, *BROKEN_ENDS):
            run = received("i-1", [BODY])
            self.assertEqual(self.violations(LOOKUP, BODY, end, run), [])
            self.assertEqual(self.stream_violations(STREAM, end), [])
            self.assertEqual(self.stream_violations(EVENTS[0], end), [])

    def test_stream_that_several_runs_have_sent(self):
        runs = (EVENTS[:1], EVENTS[1:])
        self.assertEqual(self.stream_violations(STREAM, runs=runs), [])
        found = self.stream_violations(STREAM, runs=runs[:1])
        self.assertEqual(found, ["stream with an event 2 that no run has sent"])

    def test_second_answer_within_a_stream(self):
        """Guards against foreign pieces that are not found where the answer broke off."""
        for end in (*WHOLE_ENDS, *BROKEN_ENDS):
            between = EVENTS[0] + SECOND + EVENTS[1]
            found = self.stream_violations(between, end)
            self.assertEqual(found, ["stream with another event than 2 in its place"])
            within = EVENTS[0] + EVENTS[1][:9] + SECOND + EVENTS[1][9:]
            found = self.stream_violations(within, end)
            self.assertEqual(found, ["stream with an event 2 that no run has sent"])
            behind = STREAM + HEAD + b"id: 4\ndata: piece 4\n\n"
            found = self.stream_violations(behind, end)
            self.assertEqual(found, ["stream with another event than 4 in its place"])

    def test_events_that_follow_those_of_a_run(self):
        """Guards against a second answer whose events go on with the next number."""
        found = self.stream_violations(STREAM + b"id: 4\ndata: piece 4\n\n")
        self.assertEqual(found, ["stream with an event 4 that no run has sent"])

    def test_events_out_of_order(self):
        for body in (STREAM[len(EVENTS[0]) :], EVENTS[0] + EVENTS[2]):
            self.assertEqual(len(self.stream_violations(body)), 1)
        found = self.stream_violations(EVENTS[0] * 2)
        self.assertEqual(found, ["stream with another event than 2 in its place"])

    def test_part_of_an_event(self):
        """Guards against a part that is excused as the answer broke off."""
        for end in (*WHOLE_ENDS, *BROKEN_ENDS):
            for part in (STREAM[:-1], EVENTS[0] + b"i"):
                found = self.stream_violations(part, end)
                self.assertEqual(found, ["stream with a part of an event"])

    def test_second_answer_within_a_plain_body(self):
        run = received("i-1", [BODY])
        for end in (*WHOLE_ENDS, *BROKEN_ENDS):
            for body in (BODY + SECOND, BODY[:9] + SECOND + BODY[9:], SECOND, b"ok"):
                found = self.violations(LOOKUP, body, end, run)
                self.assertEqual(found, [NOT_SENT])

    def test_part_of_a_plain_body(self):
        run, cut = received("i-1", [BODY]), received("i-1", [BODY], is_cut=True)
        for end in BROKEN_ENDS:
            self.assertEqual(self.violations(LOOKUP, BODY[:9], end, run), [])
        for end in WHOLE_ENDS:
            self.assertEqual(self.violations(LOOKUP, BODY[:9], end, run), [NOT_SENT])
        closed = self.violations(LOOKUP, BODY[:9], AnswerEnd.CLOSED, cut)
        self.assertEqual(closed, [])
        stated = self.violations(LOOKUP, BODY[:9], AnswerEnd.LENGTH, cut)
        self.assertEqual(stated, [NOT_SENT])

    def test_plain_body_of_a_run_with_another_receipt(self):
        runs = received("i-1", [BODY]), received("i-2", [b"answer of i-2"])
        found = self.violations(LOOKUP, b"answer of i-2", AnswerEnd.LENGTH, *runs)
        self.assertEqual(found, [NOT_SENT])

    def test_failure_that_a_replica_answers(self):
        """Guards against bodies that are not compared as their status is not 200."""
        run = received("i-1", [BODY])
        for kind in (LOOKUP, REPORT):
            fields = {"status": 500}
            found = self.violations(kind, BODY, AnswerEnd.LENGTH, run, **fields)
            self.assertEqual(found, [])
            found = self.violations(kind, SECOND, AnswerEnd.LENGTH, run, **fields)
            self.assertEqual(found, [NOT_SENT])

    def test_answer_of_a_host(self):
        fields = {"status": 502, "receipt": ""}
        found = self.violations(LOOKUP, b"bad gateway", AnswerEnd.LENGTH, **fields)
        self.assertEqual(found, [])
        found = self.violations(LOOKUP, SECOND, AnswerEnd.LENGTH, **fields)
        self.assertEqual(found, ["head of an answer within a host's own"])

    def test_bytes_that_belong_to_no_answer(self):
        run = received("i-1", [BODY])
        found = self.violations(LOOKUP, BODY, AnswerEnd.LENGTH, run, surplus=[b"x"])
        self.assertEqual(found, ["bytes of no answer"])


class CallerBodyTests(unittest.IsolatedAsyncioTestCase):
    async def call(self, *parts, requests=1):
        """Send requests to a server; return the body of the last, and surplus bytes.

        The server sends the parts in answer to the first, with short pauses, and ends
        the connection some time later.
        """
        surplus, body = [], []

        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            for part in parts:
                writer.write(part)
                await writer.drain()
                await asyncio.sleep(0.03)
            await asyncio.sleep(OPEN_S)
            writer.transport.abort()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        ip, port = server.sockets[0].getsockname()
        connector = new_connector(surplus.append)
        async with server, aiohttp.ClientSession(connector=connector) as session:
            for _ in range(requests):
                body.clear()
                try:
                    async with (
                        asyncio.timeout(1.0),
                        session.get(f"http://{ip}:{port}/") as answer,
                    ):
                        await read_all(answer, body)
                except (aiohttp.ClientError, OSError):
                    pass
                # Longer than all pauses between parts.
                await asyncio.sleep(0.1)
        return b"".join(body), surplus

    async def test_part_of_an_answer_that_breaks_off(self):
        """Guards against a check that never sees the bytes of broken answers."""
        head = b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n"
        self.assertEqual(await self.call(head + b"part"), (b"part", []))
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        parts = (head, b"4\r\npart\r\n", b"no chunk")
        body, surplus = await self.call(*parts)
        self.assertEqual(body, b"part")
        self.assertEqual(surplus, [b"no chunk"])

    async def test_bytes_behind_an_answer(self):
        """Guards against bytes for which the HTTP library silently closes a connection."""
        for extra in (SECOND, b"x", b"\r\nx"):
            for parts in ((SECOND + extra,), (SECOND, extra)):
                with self.subTest(parts=parts):
                    _, surplus = await self.call(*parts)
                    self.assertEqual(len(surplus), 1)

    async def test_answers_without_surplus(self):
        interim = b"HTTP/1.1 102 Processing\r\n\r\n"
        for answer in (SECOND, HEAD[:-2] + b"Connection: close\r\n\r\nok"):
            body, surplus = await self.call(answer, requests=2)
            self.assertEqual((body, surplus), (b"ok", []))
        no_body = b"HTTP/1.1 204 No Content\r\n\r\n"
        self.assertEqual(await self.call(no_body, requests=2), (b"", []))
        self.assertEqual(await self.call(interim + SECOND), (b"ok", []))
