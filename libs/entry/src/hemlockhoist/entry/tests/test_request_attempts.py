import unittest
from unittest import mock

from hemlockhoist.decisions import OutcomeKind
from hemlockhoist.decisions.entry import AttemptEnd
from hemlockhoist.entry.attempt import Attempt
from hemlockhoist.entry.request_attempts import RequestAttempts


class DiscardTests(unittest.IsolatedAsyncioTestCase):
    async def discarded_kind(self, end, times_out):
        """Return the outcome of an attempt beside another, once it is discarded."""
        attempts = RequestAttempts(*(mock.MagicMock() for _ in range(5)))
        attempts._reporter = mock.MagicMock()
        opened = mock.AsyncMock(
            attempt=Attempt(mock.MagicMock(), mock.MagicMock(), 0, 2), end=end
        )
        await attempts.discard(opened, times_out)
        return opened.attempt.kind

    async def test_time_limit_of_a_late_attempt_says_nothing_against_its_upstream(self):
        """Guards against a hedge whose own time-out comes before the request's."""
        for end, times_out, kind in (
            (AttemptEnd.TIMED_OUT, False, OutcomeKind.CANCELLED),
            (AttemptEnd.TIMED_OUT, True, OutcomeKind.TIMEOUT),
            (AttemptEnd.BROKEN, False, OutcomeKind.BROKE_OFF),
        ):
            with self.subTest(end=end, times_out=times_out):
                self.assertIs(await self.discarded_kind(end, times_out), kind)


if __name__ == "__main__":
    unittest.main()
