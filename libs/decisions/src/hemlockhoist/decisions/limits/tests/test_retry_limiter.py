import doctest
import unittest

from hemlockhoist.decisions.limits import RetryLimiter, UnknownUsage, retry_limiter


class RetryLimiterTests(unittest.TestCase):
    def test_outage_does_not_multiply_the_load(self):
        """Guards against retrying every request of a pool that fails.

        Without a limit the upstreams get twice their load while they are overloaded.
        """
        limiter = RetryLimiter(window_ms=10_000, ratio=0.2, base=10)
        retries = 0
        for at in range(1_000):
            limiter.count_request(at * 10)
            retries += limiter.acquire(at * 10)
        self.assertLessEqual(retries, 0.2 * 1_000 + 10)
        self.assertGreater(retries, 100)

    def test_idle_fleet_may_retry_a_few_requests(self):
        limiter = RetryLimiter(window_ms=10_000, ratio=0.2, base=10)
        self.assertEqual(sum(limiter.acquire(5) for _ in range(100)), 7)

    def test_partition_gets_its_share_of_the_base(self):
        limiter = RetryLimiter(window_ms=10_000, ratio=0.2, base=100, share=0.1)
        self.assertEqual(sum(limiter.acquire(5) for _ in range(100)), 7)

    def test_restart_of_all_hosts_does_not_double_the_bound(self):
        """Guards against granting the retries again after all hosts were killed."""
        previous = RetryLimiter(window_ms=10_000, ratio=0.2, base=100)
        before = sum(previous.acquire(0) for _ in range(1_000))
        limiter = RetryLimiter(window_ms=10_000, ratio=0.2, base=100)
        limiter.unknown_usage = UnknownUsage(fraction=1.0, since_ms=500)
        after = sum(limiter.acquire(at) for at in range(500, 10_000, 10))
        self.assertLessEqual(before + after, 100)
        self.assertGreater(after, 20)

    def test_examples_run(self):
        self.assertEqual(doctest.testmod(retry_limiter).failed, 0)
