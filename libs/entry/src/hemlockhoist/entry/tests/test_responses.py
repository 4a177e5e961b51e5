import unittest

from hemlockhoist.base import RESULTS, HemlockhoistError, Ran
from hemlockhoist.entry.responses import CODE_HEADER, error_response
from hemlockhoist.entry.tests.builders import call


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
