import unittest

from hemlockhoist.base import RESULTS, HemlockhoistError, Ran
from hemlockhoist.entry.responses import (
    CODE_HEADER,
    error_response,
    upstream_response,
)
from hemlockhoist.entry.tests.builders import call
from hemlockhoist.entry.wire import ResponseHead
from hemlockhoist.upstreams import BodyEnd, InvalidAnswerHead


class FakeWire:
    """Header names for these tests."""

    def refusal_headers(self, made, retry_after_ms):
        headers = {"Id": made.request_id} if made else {}
        if retry_after_ms is not None:
            headers["Retry-After-Ms"] = str(retry_after_ms)
        return headers


# From these statuses a caller concludes that a booking did not run, and repeats it.
NOT_RUN_STATUSES = {429, 503}
# The codes of all refusals and failures.
ERROR_CODES = [code for code, row in RESULTS.items() if row.http_status >= 400]


class ErrorResponseTests(unittest.TestCase):
    def test_only_not_run_codes_give_a_not_run_status(self):
        """Guards against callers that repeat a booking that ran.

        The caller concludes from status 503 that the request did not run, while the
        host does not know whether it ran.
        """
        for code in ERROR_CODES:
            row = RESULTS[code]
            response = error_response(FakeWire(), call(), HemlockhoistError("", code))
            if response.status in NOT_RUN_STATUSES:
                self.assertIs(row.ran, Ran.NO, code)
            if row.ran is not Ran.NO:
                self.assertNotIn("Retry-After-Ms", response.headers, code)

    def test_retryable_refusals_have_retry_after(self):
        for code in ERROR_CODES:
            row = RESULTS[code]
            response = error_response(FakeWire(), call(), HemlockhoistError("", code))
            if row.ran is Ran.NO and row.retryable:
                self.assertGreater(int(response.headers["Retry-After-Ms"]), 0, code)
            self.assertEqual(response.headers[CODE_HEADER], str(int(code)))
            self.assertEqual(response.headers["Id"], "a1")

    def test_unparsable_request_gets_a_response(self):
        for code in ERROR_CODES:
            response = error_response(FakeWire(), None, HemlockhoistError("", code))
            self.assertGreaterEqual(response.status, 400)


class UpstreamResponseTests(unittest.TestCase):
    def test_head_that_callers_can_not_read_is_not_written(self):
        """Guards against a head that no reader of answers has checked."""
        for status, headers in (
            (0, ()),
            (101, ()),
            (600, ()),
            (200, (("X A", "b"),)),
            (200, (("X-A", "b\x01"),)),
            (200, (("X-A", "b\r\nX-B: c"),)),
            (200, (("X-A", "\ud800"),)),
        ):
            head = ResponseHead(status=status, headers=headers)
            for body_end in BodyEnd:
                with (
                    self.subTest(status=status, headers=headers, body_end=body_end),
                    self.assertRaises(InvalidAnswerHead),
                ):
                    upstream_response(head, b"", body_end)

    def test_usual_head_is_written(self):
        headers = (("Content-Type", "text/plain"), ("X-A", "caf\udce9"), ("X-A", "b"))
        head = ResponseHead(status=404, headers=headers)
        for body_end in BodyEnd:
            response = upstream_response(head, b"", body_end)
            self.assertEqual(response.status, 404)
            self.assertEqual(response.headers.getall("X-A"), ["caf\udce9", "b"])
