import doctest
import unittest

from hypothesis import given
from hypothesis import strategies as st

from hemlockhoist.decisions.entry import ResponseTimes, response_times
from hemlockhoist.decisions.entry.response_times import MAX_WEIGHT


def load_tests(loader, tests, pattern):
    tests.addTests(doctest.DocTestSuite(response_times))
    return tests


class ResponseTimesTests(unittest.TestCase):
    @given(st.lists(st.integers(1, 60_000), min_size=1, max_size=400))
    def test_quantile_is_at_most_a_fifth_too_long(self, durations_ms):
        times = ResponseTimes()
        for duration_ms in durations_ms:
            times.observe(duration_ms, now_ms=0)
        ordered = sorted(durations_ms)
        true_ms = ordered[-(-95 * len(ordered) // 100) - 1]
        found_ms = times.quantile_ms(0.95)
        self.assertGreaterEqual(found_ms, true_ms - 0.01)
        self.assertLessEqual(found_ms, 1.2 * true_ms)

    @given(st.lists(st.integers(-5, 10**9), max_size=50), st.integers(0, 10**12))
    def test_any_time_is_counted_and_any_pause_is_outlasted(
        self, durations_ms, pause_ms
    ):
        """Guards against an endless loop or an error after a suspended host resumes."""
        times = ResponseTimes()
        for duration_ms in durations_ms:
            times.observe(duration_ms, now_ms=0)
        times.observe(10, now_ms=pause_ms)
        self.assertLessEqual(times.weight, MAX_WEIGHT)
        self.assertIsNotNone(times.quantile_ms(0.95))

    def test_quiet_route_forgets_an_earlier_hour(self):
        """Guards against hedging by the times of last night's slow responses."""
        times = ResponseTimes()
        for _ in range(200):
            times.observe(900, now_ms=0)
        times.observe(10, now_ms=3_600_000)
        self.assertLess(times.weight, 2)
