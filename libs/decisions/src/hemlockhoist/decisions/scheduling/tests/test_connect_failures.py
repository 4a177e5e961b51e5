import unittest

from hemlockhoist.decisions.scheduling.connect_failures import (
    FAILURE_TTL_MS,
    ConnectFailures,
)


class ConnectFailuresTests(unittest.TestCase):
    def setUp(self):
        self.failures = ConnectFailures()

    def record(self, host, upstream_id, now_ms=0):
        """Record a failed connection; return the blame and what is retracted."""
        is_blamed = self.failures.record(host, upstream_id, now_ms)
        return is_blamed, self.failures.take_retracted()

    def test_upstream_that_several_hosts_fail_to_reach_is_blamed(self):
        for number in range(5):
            self.assertEqual(self.record(f"h{number}", "u1"), (True, ()))

    def test_failures_of_a_host_without_links_are_not_held_against_upstreams(self):
        """Guards against a host without links that closes a pool for all others."""
        self.assertEqual(self.record("h1", "u1"), (True, ()))
        self.assertEqual(self.record("h1", "u2"), (False, ("u1",)))
        for number in range(1, 9):
            self.assertEqual(self.record("h1", f"u{number}"), (False, ()))

    def test_blame_that_another_host_shares_is_kept(self):
        """Guards against using a dead upstream as one of its witnesses is doubted."""
        self.record("h2", "u1")
        self.record("h1", "u1")
        self.assertEqual(self.record("h1", "u2"), (False, ()))

    def test_two_hosts_without_links_are_no_witnesses_for_each_other(self):
        for host in ("h1", "h2"):
            self.record(host, "u1")
            self.record(host, "u2")
        self.assertEqual(self.record("h1", "u1"), (False, ()))
        self.assertEqual(self.record("h3", "u1"), (True, ()))

    def test_host_that_reaches_an_upstream_again_is_believed(self):
        self.record("h1", "u1")
        self.record("h1", "u2")
        self.failures.record_reached("h1", "u3")
        self.assertTrue(self.failures.is_credible("h1"))
        self.assertEqual(self.record("h1", "u1"), (True, ()))

    def test_host_that_another_upstream_answers_has_links(self):
        """Guards against doubting a host because upstreams were replaced."""
        self.record("h1", "u1")
        self.record("h1", "u2")
        self.failures.record_misdirected("h1")
        self.assertTrue(self.failures.is_credible("h1"))
        self.assertEqual(self.record("h1", "u3"), (True, ()))

    def test_old_failure_does_not_make_a_host_doubtful(self):
        """Guards against doubting a host that met two dead upstreams in an hour."""
        self.record("h1", "u1")
        self.assertEqual(self.record("h1", "u2", FAILURE_TTL_MS), (True, ()))

    def test_failures_are_counted_at_many_hosts_and_upstreams(self):
        """One host in six of 1,300 is cut off: only its own failures are dropped."""
        for number in range(1_300):
            host, is_cut = f"h{number}", number % 6 == 0
            for upstream in range(20 if is_cut else 1):
                self.record(host, f"u{upstream}")
        credible = [self.failures.is_credible(f"h{n}") for n in range(1_300)]
        self.assertEqual(credible.count(False), 217)
