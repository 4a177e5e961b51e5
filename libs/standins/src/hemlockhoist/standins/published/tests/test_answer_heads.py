"""End-to-end tests of upstreams whose answers have heads that are none."""

import unittest

from hemlockhoist.base.testing import run_with_python_parser
from hemlockhoist.standins.published import Replica, Site, route
from hemlockhoist.standins.published.raw import RawReplica, call_raw

LOOKUP = route("check-free", "reservas")
BOOKING = route("book-hall", "halls", "non_idempotent", max_attempts=1)
REPORT = route("report", "asistente", "streaming", resumable=True, timeout_ms=5_000)
ROUTES = [LOOKUP, BOOKING, REPORT]
EVENTS = 4
PLATFORM_FIELDS = b"Attempt-Id: a1\r\nResponse-Signature: receipt-of-a\r\n"
LENGTH = b"Content-Length: 4\r\n"
EVENT = b"id: 1\ndata: odd!\n\n"
EVENT_LENGTH = b"Content-Length: %d\r\n" % len(EVENT)
STATUS_LINES = (
    b"HTTP/1.1 000 OK",
    b"HTTP/1.1 099 OK",
    b"HTTP/1.1 600 OK",
    b"HTTP/1.1 101 Switching Protocols",
    b"HTTP/1.1 2000 OK",
    b"HTTP/1.1  200 OK",
    b" HTTP/1.1 200 OK",
    b"HTTP/0.9 200 OK",
    b"HTTP/1.2 200 OK",
    b"HTTP/2.0 200 OK",
)


def answer(status_line=b"HTTP/1.1 200 OK", fields=b"", framing=LENGTH, body=b"odd!"):
    head = status_line + b"\r\n" + PLATFORM_FIELDS + fields + framing
    return head + b"\r\n" + body


def sends(data, replica_id="a"):
    """Return a replica that answers with these bytes, and closes the connection."""

    async def send(received, writer):
        writer.write(data)
        await writer.drain()

    return RawReplica(replica_id, send)


async def call(path, *replicas, **fields):
    """Send a request to a site with these replicas, the first of which is asked first."""
    pool = "asistente" if path.startswith("/report") else "reservas"
    services = {"asistente": [], "halls": [], "reservas": [], pool: list(replicas)}
    async with Site(services, ROUTES) as site:
        return await call_raw(site, path, **fields)


class HeadTestCase(unittest.IsolatedAsyncioTestCase):
    async def check_no_answer(self, data):
        """Check that bytes are no answer, and the request may have run."""
        with self.subTest(data=data):
            first, booked, other = sends(data), sends(data, "c"), Replica("d")
            services = {
                "reservas": [first, Replica("b")],
                "halls": [booked, other],
                "asistente": [],
            }
            async with Site(services, ROUTES) as site:
                answered = await call_raw(site, "/check-free/1")
                booking = await call_raw(site, "/book-hall/1", method="POST")
            self.assertEqual((len(first.ran), answered.status), (1, 200))
            self.assertEqual(answered.header("Response-Signature"), "receipt-of-b")
            self.assertEqual((len(booked.ran), len(other.ran)), (1, 0))
            self.assertEqual(booking.status, 502)
            self.assertNotIn(b"odd!", booking.data)

    async def check_stream_is_sent_by_another(self, data):
        """Check that a stream does not begin with bytes that are no answer."""
        with self.subTest(data=data):
            first, second = sends(data), Replica("b", events=EVENTS)
            answered = await call("/report/1", first, second, method="POST")
            self.assertEqual((len(first.ran), answered.status), (1, 200))
            self.assertEqual(answered.body.count(b"data:"), EVENTS)
            self.assertNotIn(b"odd!", answered.data)

    async def check_passed_on(self, data, status=200, **fields):
        """Check that an answer is passed on with these fields."""
        with self.subTest(data=data):
            answered = await call("/check-free/1", sends(data))
            self.assertEqual((answered.status, answered.body), (status, b"odd!"))
            for name, value in fields.items():
                self.assertEqual(answered.header(name.replace("_", "-")), value)


class StatusLineTests(HeadTestCase):
    async def test_answer_with_an_invalid_status_line_is_not_passed_on(self):
        """Guards against callers that get a status that their library refuses."""
        for line in STATUS_LINES:
            await self.check_no_answer(answer(line))

    async def test_bytes_without_a_head_are_not_passed_on(self):
        """Guards against an error page without a head that is taken for an answer."""
        for data in (b"odd!", b"<html>\nodd!\n</html>\n\n"):
            await self.check_no_answer(data)

    async def test_stream_with_an_invalid_status_is_sent_by_another_upstream(self):
        """Guards against a stream that begins with a head that is none."""
        for line in STATUS_LINES[:4]:
            await self.check_stream_is_sent_by_another(answer(line))

    async def test_usual_status_lines_are_passed_on(self):
        """Guards against sound answers that are lost."""
        for line in (b"HTTP/1.0 200 OK", b"HTTP/1.1 200", b"HTTP/1.1 200 Tr\xe8s bien"):
            await self.check_passed_on(answer(line))
        await self.check_passed_on(answer(b"HTTP/1.1 404 Not Found"), 404)
        await self.check_passed_on(b"HTTP/1.1 103 Early Hints\r\n\r\n" + answer())
        await self.check_passed_on(answer().replace(b"\r\n", b"\n"))
        await self.check_passed_on(b"\r\n" + answer())


class FieldTests(HeadTestCase):
    async def test_answer_with_control_bytes_in_a_field_is_not_passed_on(self):
        """Guards against a value that the caller's library refuses with its answer."""
        for line in (b"X-A: b\x01c", b"X-A: b\0c", b"X-A: b\x7f", b"X\x01A: b"):
            await self.check_no_answer(answer(fields=line + b"\r\n"))
        await self.check_no_answer(answer(b"HTTP/1.1 200 O\rK"))

    async def test_stream_with_control_bytes_is_sent_by_another_upstream(self):
        """Guards against a stream that ends as its head can't be written."""
        for line in (b"X-A: b\x01c\r\n", b"X-A: b\x7f\r\n"):
            data = answer(fields=line, framing=EVENT_LENGTH, body=EVENT)
            await self.check_stream_is_sent_by_another(data)

    async def test_answer_with_a_folded_line_is_not_passed_on(self):
        """Guards against a line that one reader takes for a field, another for text."""
        for lines in (b"X-A: b\r\n c\r\n", b" X-A: b\r\n"):
            await self.check_no_answer(answer(fields=lines))

    async def test_usual_values_are_passed_on(self):
        """Guards against sound answers that are lost."""
        for value in ("b", "b\tc", "caf\xe9", '!"#();,[]{}'):
            line = f"X-A: {value}\r\n".encode()
            await self.check_passed_on(answer(fields=line), X_A=value)


class FramingTests(HeadTestCase):
    async def test_answer_with_invalid_framing_is_not_passed_on(self):
        """Guards against a body that is not the upstream's."""
        chunks = b"4\r\nodd!\r\n0\r\n\r\n"
        for framing, body in (
            (b"Transfer-Encoding: gzip, chunked\r\n", chunks),
            (b"Transfer-Encoding: chunked, gzip\r\n", chunks),
            (b"Transfer-Encoding: identity\r\n", b"odd!"),
            (b"Content-Length: 4\r\nContent-Length: 4\r\n", b"odd!"),
        ):
            await self.check_no_answer(answer(framing=framing, body=body))

    async def test_chunks_in_http_1_0_are_not_passed_on(self):
        """Guards against a body that is not the upstream's."""
        framing, body = b"Transfer-Encoding: chunked\r\n", b"4\r\nodd!\r\n0\r\n\r\n"
        data = answer(b"HTTP/1.0 200 OK", framing=framing, body=body)
        await self.check_no_answer(data)


class OpaqueValueTests(HeadTestCase):
    async def test_values_that_are_no_utf_8_are_passed_on_unchanged(self):
        """Guards against values that lose bytes, and answers that are lost for them."""
        for value in (b"caf\xe9", b"\xc3", b"a\xff\x80b", b"caf\xc3\xa9 caf\xe9"):
            line = b"X-A: " + value
            for framing in (LENGTH, b"Connection: close\r\n"):
                data = answer(fields=line + b"\r\n", framing=framing)
                with self.subTest(data=data):
                    answered = await call("/check-free/1", sends(data))
                    self.assertEqual((answered.status, answered.body), (200, b"odd!"))
                    self.assertIn(line, answered.head.split(b"\r\n"))

    async def test_stream_with_values_that_are_no_utf_8_is_passed_on(self):
        """Guards against streams that are lost for a byte of a header."""
        for framing in (EVENT_LENGTH, b"Connection: close\r\n"):
            data = answer(fields=b"X-A: caf\xe9\r\n", framing=framing, body=EVENT)
            with self.subTest(data=data):
                answered = await call("/report/1", sends(data), method="POST")
                self.assertEqual(answered.status, 200)
                self.assertIn(EVENT, answered.body)
                self.assertIn(b"X-A: caf\xe9", answered.head.split(b"\r\n"))


class RepeatedFieldTests(HeadTestCase):
    async def test_answer_with_two_receipts_is_not_passed_on(self):
        """Guards against a receipt that may be another request's."""
        line = b"Response-Signature: receipt-of-another\r\n"
        await self.check_no_answer(answer(fields=line))

    async def test_answer_with_two_request_ids_is_not_passed_on(self):
        """Guards against an answer that may be another request's."""
        await self.check_no_answer(answer(fields=b"Attempt-Id: another\r\n"))

    async def test_repeated_equal_fields_are_passed_on(self):
        """Guards against sound answers that are lost."""
        await self.check_passed_on(answer(fields=PLATFORM_FIELDS))


class OtherParserTests(unittest.TestCase):
    def test_heads_are_the_same_answers_with_the_parser_in_python(self):
        """Guards against hosts that take different heads for answers."""
        names = (
            "StatusLineTests",
            "FieldTests",
            "FramingTests",
            "OpaqueValueTests",
        )
        run_with_python_parser(*(f"{__name__}.{name}" for name in names))
