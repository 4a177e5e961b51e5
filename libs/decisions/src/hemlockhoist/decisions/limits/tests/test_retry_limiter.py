import doctest
import unittest

from hemlockhoist.decisions.limits import RetryLimiter, UnknownUsage, retry_limiter


class RetryWindowTests(unittest.TestCase):
    def test_outage_does_not_multiply_the_load(self):
        """Every answer of a pool fails, and each request is tried again.

        Without a bound the upstreams get twice their load in the moment in which they
        can bear the least.
        """
        window = RetryLimiter(window_ms=10_000, ratio=0.2, base=10)
        retries = 0
        for at in range(1_000):
            window.count_request(at * 10)
            retries += window.acquire(at * 10)
        self.assertLessEqual(retries, 0.2 * 1_000 + 10)
        self.assertGreater(retries, 100)

    def test_quiet_fleet_may_retry_a_few(self):
        window = RetryLimiter(window_ms=10_000, ratio=0.2, base=10)
        self.assertEqual(sum(window.acquire(5) for _ in range(100)), 7)

    def test_part_of_a_cut_fleet_has_its_part(self):
        window = RetryLimiter(window_ms=10_000, ratio=0.2, base=100, share=0.1)
        self.assertEqual(sum(window.acquire(5) for _ in range(100)), 7)

    def test_restart_of_all_hosts_does_not_double_the_bound(self):
        """All hosts are killed in an outage, and each retry is allowed once more."""
        former = RetryLimiter(window_ms=10_000, ratio=0.2, base=100)
        before = sum(former.acquire(0) for _ in range(1_000))
        window = RetryLimiter(window_ms=10_000, ratio=0.2, base=100)
        window.unknown_usage = UnknownUsage(fraction=1.0, since_ms=500)
        after = sum(window.acquire(at) for at in range(500, 10_000, 10))
        self.assertLessEqual(before + after, 100)
        self.assertGreater(after, 20)

    def test_examples_run(self):
        self.assertEqual(doctest.testmod(retry_limiter).failed, 0)
