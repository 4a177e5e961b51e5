import doctest
import unittest

from hemlockhoist.decisions.limits import (
    RetryLimiter,
    UnknownUsage,
    partition_share,
    retry_limiter,
    retry_window,
)

WINDOW_MS = 10_000
RATIO = 0.2
BASE = 54
BOUND = 64
# Requests a second, of which each one fails and is to be sent again.
PER_S = 5
STEP_MS = 1_000 // PER_S


def new_limiter(share=1.0):
    return RetryLimiter(WINDOW_MS, RATIO, BASE, share)


def worst_window(times_ms):
    return max(
        sum(start <= at < start + WINDOW_MS for at in times_ms) for start in times_ms
    )


class SeveralHomesTests(unittest.TestCase):
    """Each lets several homes grant all that they may within one window."""

    def setUp(self):
        self.granted_ms = []

    def grant_all(self, limiter, from_ms, until_ms, per_step=4):
        """Count the requests of a time, and acquire as many retries as it allows."""
        for now_ms in range(from_ms, until_ms, STEP_MS):
            limiter.count_request(now_ms)
            for _ in range(per_step):
                if limiter.acquire(now_ms):
                    self.granted_ms.append(now_ms)

    def test_homes_in_turn_grant_one_bound(self):
        """Guards against a new home that grants its predecessors' retries again."""
        for count in (1, 2, 4, 7, 20):
            with self.subTest(homes=count):
                self.granted_ms.clear()
                records, span_ms = (), WINDOW_MS // count
                for number in range(count + 1):
                    limiter, begun_ms = new_limiter(), number * span_ms
                    limiter.unknown_usage = UnknownUsage(since_ms=begun_ms)
                    limiter.adopt(records, f"h{number}", begun_ms)
                    self.grant_all(limiter, begun_ms, begun_ms + span_ms)
                    records = limiter.records(f"h{number}", begun_ms + span_ms)
                self.assertLessEqual(worst_window(self.granted_ms), BOUND)
                least = int(retry_limiter.USED_FRACTION * RATIO * PER_S * 10)
                self.assertGreaterEqual(worst_window(self.granted_ms), least)

    def test_lives_of_all_hosts_grant_one_bound(self):
        """Guards against hosts that are lost together, time after time."""
        for count in (1, 2, 3, 4, 8):
            with self.subTest(lives=count):
                self.granted_ms.clear()
                self.grant_all(new_limiter(), 0, 2_000)
                span_ms = (WINDOW_MS - 2_000) // count
                for number in range(count):
                    limiter, begun_ms = new_limiter(), 2_000 + number * span_ms
                    unknown = UnknownUsage(fraction=1.0, since_ms=begun_ms)
                    limiter.unknown_usage = unknown
                    self.grant_all(limiter, begun_ms, begun_ms + span_ms)
                self.assertLessEqual(worst_window(self.granted_ms), BOUND)

    def test_two_homes_at_once_grant_one_bound(self):
        """Guards against hosts that disagree for a second on which is the home."""
        first, second = new_limiter(), new_limiter()
        second.unknown_usage = UnknownUsage(since_ms=0)
        for now_ms in range(0, retry_limiter.OVERLAP_MS, STEP_MS):
            for limiter in (first, second):
                self.grant_all(limiter, now_ms, now_ms + STEP_MS, per_step=60)
        records = first.records("first", retry_limiter.OVERLAP_MS)
        second.adopt(records, "second", retry_limiter.OVERLAP_MS)
        self.grant_all(second, retry_limiter.OVERLAP_MS, WINDOW_MS)
        self.assertLessEqual(worst_window(self.granted_ms), BOUND)

    def test_hosts_that_decide_alone_grant_what_the_home_leaves(self):
        """Guards against a home that has granted its part before its hosts are cut."""
        self.grant_all(new_limiter(), 0, 4_000)
        for _ in range(8):
            share = partition_share(reachable=1, known=8, is_home=False)
            limiter = new_limiter(share)
            limiter.is_home = False
            for now_ms in range(4_000, WINDOW_MS, STEP_MS):
                if limiter.acquire(now_ms):
                    self.granted_ms.append(now_ms)
        self.assertLessEqual(worst_window(self.granted_ms), BOUND)

    def test_partitions_share_the_requests_from_before_the_cut(self):
        """Guards against hosts that each grant retries for all requests of the fleet."""
        home, per_s = new_limiter(), 100
        for now_ms in range(0, WINDOW_MS, 1_000 // per_s):
            home.count_request(now_ms)
        bound = BASE + RATIO * per_s * WINDOW_MS / 1_000
        records = home.records("home", WINDOW_MS)
        for reachable in (1, 3):
            with self.subTest(reachable=reachable):
                self.granted_ms.clear()
                is_home = reachable > 1
                rest = [
                    new_limiter(partition_share(reachable, 8, is_home))
                    for _ in range(8 // reachable - 1)
                ]
                for limiter in rest:
                    limiter.is_home = is_home
                    limiter.adopt(records, "other", WINDOW_MS)
                majority = new_limiter(partition_share(5, 8, True))
                majority.adopt(records, "majority", WINDOW_MS)
                # The previous home is one of the smaller part.
                rest[0].adopt(records, "home", WINDOW_MS)
                home.share, home.is_home = rest[0].share, is_home
                for limiter in (majority, home, *rest[1:]):
                    granted = sum(limiter.acquire(WINDOW_MS) for _ in range(500))
                    self.granted_ms += [WINDOW_MS] * granted
                self.assertLessEqual(len(self.granted_ms), bound)

    def test_retries_that_waited_count_when_they_are_sent(self):
        """Guards against retries that are sent together after the window has turned."""
        for wait_ms in (0, 2_000, 4_000, 6_000):
            with self.subTest(wait_ms=wait_ms):
                self.granted_ms.clear()
                limiter = new_limiter()
                waiting = [4_000 for _ in range(100) if limiter.acquire(4_000)]
                for acquired_ms in waiting:
                    limiter.retime(acquired_ms, 4_000 + wait_ms)
                    self.granted_ms.append(4_000 + wait_ms)
                self.grant_all(limiter, 4_000 + wait_ms, 16_000)
                self.assertLessEqual(worst_window(self.granted_ms), BOUND)

    def test_a_record_counts_once_however_often_it_comes(self):
        """Guards against retries that are refused as several hosts report a home."""
        home, next_home = new_limiter(), new_limiter()
        for _ in range(5):
            self.assertTrue(home.acquire(0))
        older = home.records("home", 0)
        self.assertTrue(home.acquire(100))
        for records in (older, home.records("home", 100), older):
            next_home.adopt(records, "next", 200)
        self.assertEqual(next_home.left(200), home.left(200))
        home.adopt(next_home.records("next", 300), "home", 300)
        self.assertEqual(next_home.left(300), home.left(300))


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
        self.assertEqual(doctest.testmod(retry_window).failed, 0)
