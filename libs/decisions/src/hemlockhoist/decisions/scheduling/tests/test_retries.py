import unittest

from hemlockhoist.decisions import OutcomeKind
from hemlockhoist.decisions.scheduling.retries import MAX_BUDGET, RetryBudget


class RetryBudgetTests(unittest.TestCase):
    def test_requests_that_may_have_run_are_not_retried(self):
        """Only failed connection attempts and unsent requests are retried."""
        for kind in OutcomeKind:
            with self.subTest(kind=kind):
                expected = kind in (
                    OutcomeKind.CONNECT_FAILED,
                    OutcomeKind.LINK_FAILED,
                    OutcomeKind.NOT_SENT,
                )
                self.assertEqual(RetryBudget().acquire(kind, 1, 0), expected)

    def test_an_unreachable_failure_domain_adds_a_tenth_of_the_load(self):
        """Guards against tripling the connection attempts in a failure.

        A failure domain becomes unreachable while the list still contains it. Each of
        a thousand requests fails to connect, and each retry fails too. Connection
        attempts must not triple.
        """
        budget, retries = RetryBudget(), 0
        for now_ms in range(0, 10_000, 10):
            budget.on_request()
            attempts = 1
            while budget.acquire(OutcomeKind.CONNECT_FAILED, attempts, now_ms):
                attempts += 1
                retries += 1
        self.assertLess(retries, 100 + MAX_BUDGET + 10 + 1)
        self.assertGreater(budget.refused, 0)

    def test_a_host_with_little_traffic_may_still_retry(self):
        """One request a minute that meets a restarting upstream is retried."""
        budget = RetryBudget()
        for minute in range(30):
            budget.on_request()
            kind = OutcomeKind.CONNECT_FAILED
            self.assertTrue(budget.acquire(kind, 1, minute * 60_000))

    def test_attempts_are_bounded(self):
        """A request is not tried on every upstream of the pool."""
        self.assertFalse(RetryBudget().acquire(OutcomeKind.CONNECT_FAILED, 3, 0))
