import asyncio
import doctest
import unittest

from hemlockhoist.base import DispatchError, ResultCode
from hemlockhoist.base.testing import run_with_python_parser
from hemlockhoist.upstreams import InvalidAnswerHead, answer_head
from hemlockhoist.upstreams.tests.test_bounds import Upstream, dispatched

LENGTH = b"Content-Length: 4\r\n"
MAX_REASON_CHARACTERS = 200
STATUS_LINES = (
    b"HTTP/1.1 000 OK",
    b"HTTP/1.1 099 OK",
    b"HTTP/1.1 600 OK",
    b"HTTP/1.1 999 OK",
    b"HTTP/1.1 101 Switching Protocols",
    b"HTTP/1.1 20 OK",
    b"HTTP/1.1 2000 OK",
    b"HTTP/1.1 +20 OK",
    b"HTTP/1.1 -20 OK",
    b"HTTP/1.1 2\xb2 OK",
    b"HTTP/1.1  200 OK",
    b"HTTP/1.1\t200 OK",
    b"HTTP/1.1",
    b" HTTP/1.1 200 OK",
    b"HTTP/0.9 200 OK",
    b"HTTP/1.2 200 OK",
    b"HTTP/2.0 200 OK",
    b"HTTP/2 200",
    b"http/1.1 200 OK",
    b"ICY 200 OK",
)

CONTROL_BYTES = [*range(0x09), *range(0x0B, 0x20), 0x7F]
NO_TOKENS = (b"", b"X A", b"X ", b" X", b"X\t", b"X(", b"X@", b"X[", b'"X"', b"X\xe9")

CHUNKS = b"4\r\nbody\r\n0\r\n\r\n"
INVALID_LENGTHS = (
    b"Content-Length: 5\r\nContent-Length: 4\r\n",
    b"Content-Length: 4\r\nContent-Length: 4\r\n",
    b"Content-Length: 4, 4\r\n",
    b"Content-Length: 4, 5\r\n",
    b"Content-Length: +4\r\n",
    b"Content-Length: -4\r\n",
    b"Content-Length: 0x4\r\n",
    b"Content-Length: 4.0\r\n",
    b"Content-Length: 4 4\r\n",
    b"Content-Length:\r\n",
    b"Content-Length: \xd9\xa4\r\n",
    b"Content-Length: \xb2\r\n",
    b"Content-Length: 9999999999999999999999\r\n",
)
INVALID_CODINGS = (
    b"gzip, chunked",
    b"chunked, gzip",
    b"chunked, chunked",
    b"chunked,",
    b"chunked;q=1",
    b"chunked\r\nTransfer-Encoding: chunked",
    b"chunked\r\nTransfer-Encoding: gzip",
    b"chunked\r\nContent-Length: 4",
    b"identity",
    b"xchunked",
    b"x chunked",
    b"chun\xe2\x84\xaaed",
    b"",
)


def answer(status_line=b"HTTP/1.1 200 OK", fields=b"", framing=LENGTH, body=b"body"):
    return status_line + b"\r\n" + fields + framing + b"\r\n" + body


def cut(data):
    """Return the ways in which bytes arrive: at once, and one by one."""
    return [data], [data[n : n + 1] for n in range(len(data))]


async def read(chunks):
    """Return the status, header ``X-A`` and body of an answer, or its error."""
    async with Upstream(chunks) as upstream:
        try:
            async with dispatched(upstream.address) as response:
                text = response.headers.get("X-A")
                return response.status, text, await response.read(1_000)
        except DispatchError as error:
            return error


class HeadTestCase(unittest.IsolatedAsyncioTestCase):
    async def check_refused(self, data):
        for chunks in cut(data):
            with self.subTest(data=data, chunk_count=len(chunks)):
                error = await read(chunks)
                self.assertIsInstance(error, InvalidAnswerHead)
                self.assertEqual(error.code, ResultCode.UPSTREAM_BROKE_OFF)
                self.assertLess(len(error.message), MAX_REASON_CHARACTERS)
                self.assertTrue(error.message.isascii() and error.message.isprintable())

    async def check_read(self, data, expected):
        for chunks in cut(data):
            with self.subTest(data=data, chunk_count=len(chunks)):
                self.assertEqual(await read(chunks), expected)


class StatusLineTests(HeadTestCase):
    async def test_invalid_status_lines_are_no_answers(self):
        """Guards against an upstream's trouble that is passed on as an answer."""
        for line in STATUS_LINES:
            await self.check_refused(answer(line))

    async def test_bytes_without_a_head_are_no_answer(self):
        """Guards against a request that waits for the head in bytes that have none."""
        for data in (b"hello", b"<html>\n<body>x</body></html>\n", b"H\0", b"\x16\x03"):
            await self.check_refused(data)

    async def test_reason_is_bounded_whatever_it_quotes(self):
        """Guards against long reasons, as escaped bytes take four characters."""
        for data in (
            b"\0" * 60,
            answer(b"\0" * 60),
            answer(fields=b"\0" * 60 + b": x"),
        ):
            await self.check_refused(data)
        name = b"x" * 60
        await self.check_refused(answer(fields=name + b": " + b"\0" * 60 + b"\r\n"))

    async def test_interim_answers_are_checked_too(self):
        """Guards against an answer that begins with an invalid interim one."""
        for line in STATUS_LINES:
            await self.check_refused(line + b"\r\n\r\n" + answer())
        for status in (b"100", b"103", b"199"):
            data = b"HTTP/1.1 " + status + b" Interim\r\nLink: x\r\n\r\n" + answer()
            await self.check_read(data, (200, None, b"body"))

    async def test_usual_status_lines_are_read(self):
        """Guards against sound answers that are lost."""
        for line in (
            b"HTTP/1.1 200 OK",
            b"HTTP/1.0 200 OK",
            b"HTTP/1.1 200 ",
            b"HTTP/1.1 200",
            b"HTTP/1.1 200 Tr\xe8s bien",
        ):
            await self.check_read(answer(line), (200, None, b"body"))
        await self.check_read(b"\r\n\n" + answer(), (200, None, b"body"))
        for status in (299, 404, 599):
            line = b"HTTP/1.1 %d X" % status
            await self.check_read(answer(line), (status, None, b"body"))

    async def test_lines_may_end_without_cr(self):
        """Guards against sound answers that are lost."""
        data = answer().replace(b"\r\n", b"\n")
        await self.check_read(data, (200, None, b"body"))


class FieldTests(HeadTestCase):
    async def test_control_bytes_are_in_no_answer(self):
        """Guards against a value that the caller's library refuses with its answer."""
        for number in CONTROL_BYTES:
            byte = bytes([number])
            for value in (byte, b"b" + byte + b"c", b"b" + byte * 2):
                await self.check_refused(answer(fields=b"X-A: %b\r\n" % value))
            await self.check_refused(answer(b"HTTP/1.1 200 O%bK" % byte))

    async def test_names_of_fields_are_tokens(self):
        """Guards against a line that each reader takes for another field."""
        for name in (*NO_TOKENS, *(b"X%cA" % number for number in CONTROL_BYTES)):
            await self.check_refused(answer(fields=name + b": b\r\n"))
        await self.check_refused(answer(fields=b"X-A\r\n"))

    async def test_folded_lines_are_in_no_answer(self):
        """Guards against a line that one reader takes for a field, another for text."""
        for lines in (
            b"X-A: b\r\n c\r\n",
            b"X-A: b\r\n\tc\r\n",
            b"X-A: b\n c\n",
            b"X-A: b\r\n \r\n",
            b"X-A:\r\n b\r\n",
            b" X-A: b\r\n",
            b"X-A: b\r\n Content-Length: 2\r\n",
        ):
            await self.check_refused(answer(fields=lines))

    async def test_status_line_within_a_line_is_in_no_answer(self):
        """Guards against two answers whose heads are taken for one."""
        for second in (b"HTTP/1.1 100 Continue", b"HTTP/1.0 503 Busy"):
            await self.check_refused(answer(fields=b"X-A: val%b\r\n" % second))
            await self.check_refused(answer(b"HTTP/1.1 200 O" + second))

    async def test_usual_values_are_read(self):
        """Guards against sound answers that are lost."""
        for value, text in (
            (b" b", "b"),
            (b"b", "b"),
            (b"\tb \t", "b"),
            (b" b\tc", "b\tc"),
            (b" ", ""),
            (b" caf\xc3\xa9", "caf\xe9"),
            (b" caf\xe9", "caf\udce9"),
            (b" !#$%&'*+-.^_`|~:;,\\\"()[]{}", "!#$%&'*+-.^_`|~:;,\\\"()[]{}"),
        ):
            data = answer(fields=b"X-A:" + value + b"\r\n")
            await self.check_read(data, (200, text, b"body"))


class FramingTests(HeadTestCase):
    async def test_invalid_lengths_are_in_no_answer(self):
        """Guards against a part of a body that is taken for the whole."""
        for framing in INVALID_LENGTHS:
            await self.check_refused(answer(framing=framing))

    async def test_invalid_transfer_codings_are_in_no_answer(self):
        """Guards against the framing of a body that is taken for the body."""
        for codings in INVALID_CODINGS:
            framing = b"Transfer-Encoding: " + codings + b"\r\n"
            await self.check_refused(answer(framing=framing, body=CHUNKS))

    async def test_chunks_are_in_no_answer_of_http_1_0(self):
        """Guards against chunks of an upstream that did not mean any."""
        framing = b"Transfer-Encoding: chunked\r\n"
        await self.check_refused(answer(b"HTTP/1.0 200 OK", framing=framing))

    async def test_status_without_a_body_has_none(self):
        """Guards against a body that is taken for the next answer."""
        for framing in (LENGTH, b"Transfer-Encoding: chunked\r\n"):
            for line in (b"HTTP/1.1 204 No Content", b"HTTP/1.1 103 Early Hints"):
                await self.check_refused(answer(line, framing=framing) + answer())

    async def test_usual_framings_are_read(self):
        """Guards against sound answers that are lost."""
        for framing, body in (
            (b"content-length:4\r\n", b"body"),
            (b"Content-Length: \t04 \r\n", b"body"),
            (b"Transfer-Encoding: Chunked\r\n", CHUNKS),
            (b"transfer-encoding:chunked \r\n", CHUNKS),
            (b"Connection: close\r\n", b"body"),
        ):
            data = answer(framing=framing, body=body)
            await self.check_read(data, (200, None, b"body"))
        for framing in (b"", b"Content-Length: 0\r\n"):
            data = answer(b"HTTP/1.1 204 No Content", framing=framing, body=b"")
            await self.check_read(data, (204, None, b""))
        data = answer(b"HTTP/1.1 304 Not Modified", body=b"")
        await self.check_read(data, (304, None, b""))


class BodyFramingTests(HeadTestCase):
    async def test_unreadable_framing_of_a_body_ends_it(self):
        """Guards against a reader that waits for a body on a closed connection."""
        head = answer(framing=b"Transfer-Encoding: chunked\r\n", body=b"")
        for body in (b"body", b"zz\r\n", b"4\r\nbodyXX\r\n0\r\n\r\n"):
            for chunks in ([head, body], [head, *cut(body)[1]], cut(head + body)[1]):
                with self.subTest(body=body, chunk_count=len(chunks)):
                    async with asyncio.timeout(1):
                        error = await read(chunks)
                    self.assertIsInstance(error, DispatchError)
                    self.assertEqual(error.code, ResultCode.UPSTREAM_BROKE_OFF)


class OtherParserTests(unittest.TestCase):
    def test_heads_are_the_same_answers_with_the_parser_in_python(self):
        """Guards against hosts that take different heads for answers."""
        names = (
            "StatusLineTests",
            "FieldTests",
            "FramingTests",
            "BodyFramingTests",
        )
        run_with_python_parser(*(f"{__name__}.{name}" for name in names))


def load_tests(loader, tests, pattern):
    tests.addTests(doctest.DocTestSuite(answer_head))
    return tests
