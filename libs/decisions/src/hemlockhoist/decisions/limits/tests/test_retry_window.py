import doctest
import unittest

from hemlockhoist.decisions.limits import RetryWindow, UnknownPast, retry_window


class RetryWindowTests(unittest.TestCase):
    def test_outage_does_not_multiply_the_load(self):
        """Every answer of a pool fails, and each request is tried again.

        Without a bound the upstreams get twice their load in the moment in which they
        can bear the least.
        """
        window = RetryWindow(window_ms=10_000, ratio=0.2, base=10)
        retries = 0
        for at in range(1_000):
            window.count_request(at * 10)
            retries += window.take(at * 10)
        self.assertLessEqual(retries, 0.2 * 1_000 + 10)
        self.assertGreater(retries, 100)

    def test_quiet_fleet_may_retry_a_few(self):
        window = RetryWindow(window_ms=10_000, ratio=0.2, base=10)
        self.assertEqual(sum(window.take(5) for _ in range(100)), 7)

    def test_part_of_a_cut_fleet_has_its_part(self):
        window = RetryWindow(window_ms=10_000, ratio=0.2, base=100, share=0.1)
        self.assertEqual(sum(window.take(5) for _ in range(100)), 7)

    def test_restart_of_all_hosts_does_not_double_the_bound(self):
        """All hosts are killed in an outage, and each retry is allowed once more."""
        former = RetryWindow(window_ms=10_000, ratio=0.2, base=100)
        before = sum(former.take(0) for _ in range(1_000))
        window = RetryWindow(window_ms=10_000, ratio=0.2, base=100)
        window.past = UnknownPast(part=1.0, since_ms=500)
        after = sum(window.take(at) for at in range(500, 10_000, 10))
        self.assertLessEqual(before + after, 100)
        self.assertGreater(after, 20)

    def test_examples_run(self):
        self.assertEqual(doctest.testmod(retry_window).failed, 0)
