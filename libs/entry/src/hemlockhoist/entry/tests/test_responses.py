import unittest

from hemlockhoist.base import RESULTS, HemlockhoistError, Ran
from hemlockhoist.entry.responses import CODE_HEADER, error_response
from hemlockhoist.entry.tests.builders import call


class FakeWire:
    """Names of headers for these tests."""

    def refusal_headers(self, made, retry_after_ms):
        headers = {"Id": made.request_id} if made else {}
        if retry_after_ms is not None:
            headers["Come-Back-Ms"] = str(retry_after_ms)
        return headers


# On these a caller repeats a booking: they promise that it did not run.
PROMISES = {429, 503}
# All but those of successes.
CODES = [code for code, row in RESULTS.items() if row.http_status >= 400]


class OwnAnswerTests(unittest.TestCase):
    def test_only_codes_that_say_not_run_give_a_status_that_promises_it(self):
        """A caller repeats a booking that has run.

        It reads "503" as "not run", and the host meant "I do not know".
        """
        for code in CODES:
            row = RESULTS[code]
            answer = error_response(FakeWire(), call(), HemlockhoistError("", code))
            if answer.status in PROMISES:
                self.assertIs(row.ran, Ran.NO, code)
            if row.ran is not Ran.NO:
                self.assertNotIn("Come-Back-Ms", answer.headers, code)

    def test_every_refusal_that_may_be_repeated_says_when(self):
        for code in CODES:
            row = RESULTS[code]
            answer = error_response(FakeWire(), call(), HemlockhoistError("", code))
            if row.ran is Ran.NO and row.retryable:
                self.assertGreater(int(answer.headers["Come-Back-Ms"]), 0, code)
            self.assertEqual(answer.headers[CODE_HEADER], str(int(code)))
            self.assertEqual(answer.headers["Id"], "a1")

    def test_request_that_can_not_be_read_gets_an_answer_too(self):
        for code in CODES:
            answer = error_response(FakeWire(), None, HemlockhoistError("", code))
            self.assertGreaterEqual(answer.status, 400)
