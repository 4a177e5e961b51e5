import random
import unittest

from hemlockhoist.store.retries import Backoff, RetryBudget


class RetryBudgetTests(unittest.TestCase):
    def test_an_outage_is_not_multiplied(self):
        """
        The store is down for a thousand calls, each of which would be tried four
        times. Beyond the saved retries, the budget lets a fifth through again.
        """
        budget = RetryBudget(permille=200, burst=10)
        retries = 0
        for _ in range(1_000):
            budget.on_call()
            retries += sum(budget.take() for _ in range(3))
        self.assertLessEqual(retries, 210)
        self.assertGreaterEqual(retries, 200)


class BackoffTests(unittest.TestCase):
    def test_pauses_are_random_and_bounded(self):
        """The bound doubles with each attempt up to the largest."""
        backoff = Backoff(50, 1_000, random.Random(1))
        for attempt, bound_ms in ((1, 50), (2, 100), (5, 800), (9, 1_000)):
            pauses = [backoff.delay_ms(attempt) for _ in range(200)]
            self.assertLessEqual(max(pauses), bound_ms)
            self.assertGreater(max(pauses), bound_ms * 0.8)
            self.assertLess(min(pauses), bound_ms * 0.2)
