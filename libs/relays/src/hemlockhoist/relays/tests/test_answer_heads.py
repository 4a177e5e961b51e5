import contextlib
import doctest
import types
import unittest

from multidict import CIMultiDict

from hemlockhoist.base import DispatchError, ResultCode
from hemlockhoist.base.testing import run_with_python_parser
from hemlockhoist.messages import RelayedHead
from hemlockhoist.relays import heads
from hemlockhoist.relays.tests.test_relaying import RelayingTestCase
from hemlockhoist.upstreams import BodyEnd

LENGTH = ("Content-Length", "4")
INVALID_HEADS = (
    (0, [LENGTH]),
    (99, [LENGTH]),
    (100, [LENGTH]),
    (101, []),
    (600, [LENGTH]),
    (10**9, [LENGTH]),
    (200, [LENGTH, ("X A", "b")]),
    (200, [LENGTH, ("", "b")]),
    (200, [LENGTH, ("X-A", "b\x01")]),
    (200, [LENGTH, ("X-A", "b\r\nX-B: c")]),
    (200, [LENGTH, ("Content-Length", "5")]),
    (200, [LENGTH, ("Transfer-Encoding", "chunked")]),
    (200, [("Transfer-Encoding", "gzip, chunked")]),
    (204, [LENGTH]),
)
INVALID_ANSWERS = (
    b"HTTP/1.1 000 OK\r\nContent-Length: 4\r\n\r\nhall",
    b"HTTP/1.1 200 OK\r\nX-A: b\x01\r\nContent-Length: 4\r\n\r\nhall",
    b"HTTP/1.1 200 OK\r\nX-A: b\r\n c\r\nContent-Length: 4\r\n\r\nhall",
    b"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhall\r\n0\r\n\r\n",
    b"hall",
)


class UncheckedClient:
    """A client of upstreams that takes any head for that of an answer."""

    def __init__(self, status, headers):
        self._status, self._headers = status, CIMultiDict(headers)

    @contextlib.asynccontextmanager
    async def dispatch(self, call, guard):
        await guard.prepare()
        guard.begin_dispatch()

        async def chunks():
            yield b"hall"

        yield types.SimpleNamespace(
            status=self._status,
            headers=self._headers,
            body_end=BodyEnd.LENGTH,
            chunks=chunks,
        )


class AnswerHeadTests(RelayingTestCase):
    async def check_refused(self, number):
        request_id = f"r{number}/1"
        guard = self.guard(request_id)
        with self.assertRaises(DispatchError) as caught:
            await self.relay(guard, self.offer(request_id))
        self.assertEqual(caught.exception.code, ResultCode.UPSTREAM_BROKE_OFF)
        self.assertIn("head of the answer is invalid", caught.exception.message)
        self.assertTrue(guard.dispatched)

    async def test_relaying_host_passes_no_invalid_head_on(self):
        """Guards against invalid heads that callers get through another host."""
        for number, answer in enumerate(INVALID_ANSWERS):
            self.upstream.answer = answer
            with self.subTest(answer=answer):
                await self.check_refused(number)

    async def test_invalid_head_from_a_relaying_host_is_no_answer(self):
        """Guards against a relaying host of a release that checks less."""
        for number, (status, headers) in enumerate(INVALID_HEADS):
            self.helper.server.client = UncheckedClient(status, headers)
            with self.subTest(status=status, headers=headers):
                await self.check_refused(number)

    async def test_usual_head_from_a_relaying_host_is_an_answer(self):
        """Guards against sound answers that are lost."""
        headers = [LENGTH, ("X-A", "caf\xe9\t!"), ("X-A", "")]
        self.helper.server.client = UncheckedClient(200, headers)
        self.assertEqual(await self.relay(), (200, b"hall"))

    async def test_values_that_are_no_utf_8_are_passed_on_unchanged(self):
        """Guards against answers that are lost for a byte of a header."""
        lines = b"X-A: caf\xe9\r\nX-A: b\r\nX-B: caf\xc3\xa9\r\n"
        self.upstream.answer = b"HTTP/1.1 200 OK\r\n" + lines + b"\r\nhall"
        relayed = await self.entry.client.open(self.helper.candidate, self.offer())
        try:
            response = await relayed.send(self.call(), self.guard())
            self.assertEqual(response.headers.getall("X-A"), ["caf\udce9", "b"])
            self.assertEqual(response.headers["X-B"], "caf\xe9")
            self.assertEqual(await response.read(1_000), b"hall")
        finally:
            relayed.close()


class HeadMessageTests(unittest.TestCase):
    def test_examples_run(self):
        self.assertEqual(doctest.testmod(heads).failed, 0)

    def test_head_of_an_earlier_release_is_read(self):
        """Guards against hosts that can't help each other during a release."""
        message = RelayedHead(status=200, headers=(("X-A", "caf\xe9"),))
        self.assertEqual(heads.head_fields(message), message.headers)


class OtherParserTests(unittest.TestCase):
    def test_heads_are_the_same_answers_with_the_parser_in_python(self):
        """Guards against hosts that take different heads for answers."""
        run_with_python_parser(f"{__name__}.AnswerHeadTests")
