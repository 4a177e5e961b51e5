import random
import unittest

from hemlockhoist.decisions.configuration import RetryBudget, StoreBackoff
from hemlockhoist.decisions.configuration.backoff import BASE_MS, MAX_MS


class BackoffTests(unittest.TestCase):
    def test_failures_spread_and_stay_bounded(self):
        """Guards against simultaneous reads that bring a recovered store down again.

        A store recovers from an outage while a thousand hosts wait for it. With equal
        delays it would get a thousand reads at once and fail again.
        """
        due = []
        for seed in range(1_000):
            backoff = StoreBackoff(2_000, random.Random(seed))
            for _ in range(10):
                backoff.on_failure(0)
            due.append(next(ms for ms in range(0, 60_000, 50) if backoff.is_due(ms)))
        self.assertLessEqual(max(due), BASE_MS + MAX_MS)
        busiest = max(sum(start <= ms < start + 1_000 for ms in due) for start in due)
        self.assertLess(busiest, 80)

    def test_success_returns_to_the_regular_interval(self):
        """After an answer the next read follows at the regular interval."""
        backoff = StoreBackoff(2_000, random.Random(1))
        backoff.on_failure(0)
        backoff.on_success()
        self.assertTrue(backoff.is_due(60_000))
        self.assertFalse(backoff.is_due(61_000))
        self.assertTrue(backoff.is_due(62_600))

    def test_budget_bounds_retries(self):
        """A hundred first attempts allow ten retries; elapsed time allows more."""
        budget = RetryBudget(share_permille=100, max_retries=5, refill_ms=10_000)
        while budget.acquire(0):
            pass
        retries = 0
        for _ in range(100):
            budget.on_attempt(0)
            retries += budget.acquire(0)
        self.assertEqual(retries, 10)
        self.assertFalse(budget.acquire(5_000))
        self.assertTrue(budget.acquire(15_000))
