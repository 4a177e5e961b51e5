import asyncio
import contextlib
import unittest

import aiohttp

from hemlockhoist.listeners import set_reset_on_close
from hemlockhoist.standins.published.replica import ReceivedRequest, Replica
from hemlockhoist.standins.published.soak.answer_ends import AnswerEnd, new_connector
from hemlockhoist.standins.published.soak.callers import REQUEST_KINDS, Call
from hemlockhoist.standins.published.soak.checks import RunChecker
from hemlockhoist.standins.published.soak.end_checks import whole_stream

LOOKUP, _, REPORT, _ = REQUEST_KINDS
EVENTS = 3
BODY = b"answer of i-1 to /check-free/c1"
STATED = [AnswerEnd.LENGTH, AnswerEnd.LAST_CHUNK]


class EndCheckTests(unittest.TestCase):
    """Each check is given a record that violates it, so that none passes trivially."""

    def violations(self, kind, body, end, is_cut=False):
        call = Call(
            attempt_id="c1",
            kind=kind,
            key="k1",
            host="h",
            sent_s=0.0,
            status=200,
            receipt="receipt-of-i-1",
            body=body,
            is_complete=end is not AnswerEnd.BROKEN,
            end=end,
        )
        replica = Replica("i-1")
        headers = {"attempt-id": "c1", "tenant": "t1", "expected-instance": "i-1"}
        replica.ran.append(
            ReceivedRequest(
                kind.method,
                f"/{kind.path}/c1",
                headers,
                b"",
                replica_id="i-1",
                is_cut=is_cut,
            )
        )
        checker = RunChecker([call], [replica], EVENTS)
        checker.check({}, 3_000, {"k1": "t1"}, (), ())
        return [text.partition(":")[0] for text in checker.violations]

    def test_whole_answers_are_no_violations(self):
        for end in (*STATED, AnswerEnd.CLOSED):
            self.assertEqual(self.violations(LOOKUP, BODY, end), [])
            self.assertEqual(self.violations(LOOKUP, BODY + b"xx", end), [])
            self.assertEqual(self.violations(REPORT, whole_stream(EVENTS), end), [])

    def test_part_with_a_stated_end(self):
        """A replica that has cut its answer is no excuse for a stated end."""
        for end in STATED:
            problem = f"part of an answer with a stated end ({end.value})"
            for is_cut in (False, True):
                found = self.violations(LOOKUP, BODY[:-1], end, is_cut)
                self.assertIn(problem, found)
                part = whole_stream(EVENTS - 1)
                self.assertIn(problem, self.violations(REPORT, part, end, is_cut))

    def test_part_that_only_a_break_of_the_host_explains(self):
        problem = "part of an answer that no replica has cut looks whole"
        for kind, part in ((LOOKUP, BODY[:9]), (REPORT, whole_stream(EVENTS - 1))):
            found = self.violations(kind, part, AnswerEnd.CLOSED)
            self.assertEqual(found, [problem])
            found = self.violations(kind, part, AnswerEnd.CLOSED, is_cut=True)
            self.assertEqual(found, [])

    def test_part_of_another_answer(self):
        """A replica that has cut its answer is no excuse for bytes of another one."""
        for kind, part in ((LOOKUP, b"answer of i-2"), (REPORT, b"id: 2\n")):
            found = self.violations(kind, part, AnswerEnd.CLOSED, is_cut=True)
            self.assertEqual(len(found), 1)

    def test_part_that_is_visibly_broken(self):
        self.assertEqual(self.violations(LOOKUP, BODY[:9], AnswerEnd.BROKEN), [])


class CallerEndTests(unittest.IsolatedAsyncioTestCase):
    async def read(self, head, is_reset):
        """Read an answer whose connection is closed or reset after its first bytes."""

        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(f"HTTP/1.1 200 OK\r\n{head}\r\n".encode() + b"4\r\npart\r\n")
            await writer.drain()
            await asyncio.sleep(0.05)
            set_reset_on_close(writer.transport, is_reset)
            writer.transport.abort()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        ip, port = server.sockets[0].getsockname()
        session = aiohttp.ClientSession(connector=new_connector())
        async with server, session, session.get(f"http://{ip}:{port}/") as answer:
            with contextlib.suppress(aiohttp.ClientError):
                await answer.read()
                return AnswerEnd.of_whole(answer.headers)
        return AnswerEnd.BROKEN

    async def test_reset_is_told_from_an_orderly_close(self):
        """Guards against a check that takes each end of a connection for an orderly one."""
        self.assertIs(await self.read("", is_reset=False), AnswerEnd.CLOSED)
        self.assertIs(await self.read("", is_reset=True), AnswerEnd.BROKEN)
        chunked = "Transfer-Encoding: chunked\r\n"
        self.assertIs(await self.read(chunked, is_reset=False), AnswerEnd.BROKEN)
        length = "Content-Length: 9\r\n"
        self.assertIs(await self.read(length, is_reset=False), AnswerEnd.LENGTH)
