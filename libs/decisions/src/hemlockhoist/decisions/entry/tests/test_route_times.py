import doctest
import unittest

from hemlockhoist.decisions.entry import RouteTimes, route_times


def load_tests(loader, tests, pattern):
    tests.addTests(doctest.DocTestSuite(route_times))
    return tests


class RouteTimesTests(unittest.TestCase):
    def setUp(self):
        self.times = RouteTimes()

    def observe(self, count, duration_ms, route="check"):
        for _ in range(count):
            self.times.observe(route, "halls", duration_ms, now_ms=0)

    def test_few_requests_say_nothing(self):
        """Guards against an expectation that rests on a handful of requests."""
        self.observe(19, 10)
        self.assertIsNone(self.times.expected_ms("check", "halls", 0))

    def test_pool_stands_in_for_a_rare_route(self):
        self.observe(20, 100)
        self.assertGreaterEqual(self.times.expected_ms("rare", "halls", 0), 100)
        self.assertIsNone(self.times.expected_ms("rare", "other", 0))

    def test_slow_requests_of_a_route_are_expected(self):
        """Guards against a mean that hides the requests that take long."""
        self.observe(95, 10)
        self.observe(5, 5_000)
        self.assertGreaterEqual(self.times.expected_ms("check", "halls", 0), 5_000)

    def test_earlier_hour_does_not_count(self):
        self.observe(40, 5_000)
        self.assertIsNone(self.times.expected_ms("check", "halls", 3_600_000))


if __name__ == "__main__":
    unittest.main()
