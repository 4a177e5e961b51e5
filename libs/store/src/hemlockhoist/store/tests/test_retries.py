import random
import unittest

from hemlockhoist.store.retries import Backoff, RetryBudget


class RetryBudgetTests(unittest.TestCase):
    def test_retries_in_an_outage_are_bounded(self):
        """Guards against multiplying the load of a store that is down.

        A thousand calls fail, each of which may be attempted four times. Apart from the
        accumulated retries, the budget allows one retry for five calls.
        """
        budget = RetryBudget(permille=200, burst=10)
        retries = 0
        for _ in range(1_000):
            budget.on_call()
            retries += sum(budget.acquire() for _ in range(3))
        self.assertLessEqual(retries, 210)
        self.assertGreaterEqual(retries, 200)


class BackoffTests(unittest.TestCase):
    def test_delays_are_random_and_bounded(self):
        """The upper bound doubles with each attempt, up to the maximum."""
        backoff = Backoff(50, 1_000, random.Random(1))
        for attempt, bound_ms in ((1, 50), (2, 100), (5, 800), (9, 1_000)):
            delays = [backoff.delay_ms(attempt) for _ in range(200)]
            self.assertLessEqual(max(delays), bound_ms)
            self.assertGreater(max(delays), bound_ms * 0.8)
            self.assertLess(min(delays), bound_ms * 0.2)
