"""Tests of second answers within the bodies of the own interface's services."""

import unittest
from unittest import mock

from hemlockhoist.base import ResultCode
from hemlockhoist.base.testing import run_with_python_parser
from hemlockhoist.standins.service.app import ServiceStandin
from hemlockhoist.standins.tests.test_host_process import CutHostCase, HostCase

_BOOKINGS = "/services/reservations/bookings"
_AVAILABILITY = "/services/reservations/availability"
_CALLER = {"Authorization": "Bearer demo-key-large"}
_BODY = b"x" * 260
_FOREIGN = b'{"a":1}'
_UNFRAMED = "Connection: close\r\n"
_LENGTH = f"Content-Length: {len(_BODY)}\r\n"
_PLACES = (
    (0, _UNFRAMED),
    (130, _UNFRAMED),
    (260, _UNFRAMED),
    (0, _LENGTH),
    (130, _LENGTH),
)


def _head(request, framing):
    request_id = request.headers["X-Request-Id"]
    lines = "HTTP/1.1 200 OK\r\nX-Upstream-Version: v1\r\n"
    return f"{lines}X-Request-Id: {request_id}\r\n{framing}\r\n".encode()


class _SecondAnswers:
    """Lets the service send second answers; a part of a test case."""

    def send_second(self, at_byte, framing, count):
        """Let the service send that many second answers at a byte of its body."""
        left = [None] * count
        reply = ServiceStandin._reply

        async def reply_twice(service, request, key, body):
            if not left:
                return await reply(service, request, key, body)
            left.pop()
            second = _head(request, f"Content-Length: {len(_FOREIGN)}\r\n") + _FOREIGN
            request.transport.write(
                _head(request, framing) + _BODY[:at_byte] + second + _BODY[at_byte:]
            )
            request.transport.close()
            return await reply(service, request, key, body)

        return mock.patch.object(ServiceStandin, "_reply", reply_twice)

    def check_broken(self, answer, expected_code=ResultCode.UPSTREAM_BROKE_OFF):
        """Check that an answer is an error that does not say whether the call ran."""
        status, code, ran, text = answer
        found = status, code, ran
        expected = 502, expected_code, "outcome unknown"
        self.assertEqual(found, expected, text)
        self.assertNotIn(_FOREIGN.decode(), text)

    async def check_lookups(self):
        for at_byte, framing in _PLACES:
            with (
                self.subTest(at_byte=at_byte, framing=framing),
                self.send_second(at_byte, framing, count=1),
            ):
                self.check_broken(await self._call("GET", _AVAILABILITY, _CALLER))

    async def check_bookings(self):
        for at_byte, framing in _PLACES:
            headers = await self._key_headers(f"{at_byte}-{framing[:7]}")
            self.service.runs.begun.clear()
            with (
                self.subTest(at_byte=at_byte, framing=framing),
                self.send_second(at_byte, framing, count=1),
            ):
                first = await self._call("POST", _BOOKINGS, headers)
                again = await self._call("POST", _BOOKINGS, headers)
                self.check_broken(first)
                self.check_broken(again, ResultCode.OUTCOME_UNKNOWN)
                self.assertEqual(self._runs(), [1])


class ServiceSecondAnswerTests(_SecondAnswers, HostCase):
    async def test_second_answer_is_no_part_of_a_lookup(self):
        """Guards against two answers that a caller gets as one."""
        await self.check_lookups()

    async def test_second_answer_is_no_part_of_a_booking_or_its_repetition(self):
        """Guards against foreign bytes in the ledger, and a second run of a booking."""
        await self.check_bookings()


class RelayedServiceSecondAnswerTests(_SecondAnswers, CutHostCase):
    async def test_second_answer_through_another_host_is_no_part_of_a_lookup(self):
        """Guards against two answers that a caller gets as one over another host."""
        await self.check_lookups()

    async def test_second_answer_through_another_host_is_no_part_of_a_booking(self):
        """Guards against foreign bytes in the ledger, and a second run of a booking."""
        await self.check_bookings()


class OtherParserTests(unittest.TestCase):
    def test_second_answers_are_found_with_the_parser_in_python(self):
        """Guards against a parser that hands on other bytes than the compiled one."""
        names = ("ServiceSecondAnswerTests", "RelayedServiceSecondAnswerTests")
        run_with_python_parser(*(f"{__name__}.{name}" for name in names))
