import unittest

from hemlockhoist.standins.published.behaviours import ReceivedRequest
from hemlockhoist.standins.published.replica import Replica
from hemlockhoist.standins.published.soak.callers import (
    CALLER_DEADLINE_MS,
    REQUEST_KINDS,
    Call,
)
from hemlockhoist.standins.published.soak.retry_checks import (
    ReplicaOutages,
    RetryBounds,
    find_arrivals,
    find_attempt_violations,
    find_retry_violations,
    find_time_limit_violations,
)

BOUNDS = RetryBounds(window_s=10.0, ratio=0.2, allowance=4.0)


class RetryCheckTests(unittest.TestCase):
    """Each check is given a record that violates it, so that none passes trivially."""

    def setUp(self):
        self.calls = {}
        self.replicas = [Replica(f"i-{number}") for number in range(4)]

    def send(self, count, times_s, rejects=False, deadline_ms=1_000):
        """Let requests arrive at one replica after the other, at each of the times."""
        for _ in range(count):
            number = len(self.calls)
            call = Call(f"c{number}", REQUEST_KINDS[0], "k", "h", times_s[0])
            self.calls[call.attempt_id] = call
            for replica, at_s in zip(self.replicas, times_s, strict=False):
                headers = {"attempt-id": call.attempt_id}
                if deadline_ms is not None:
                    headers["deadline-ms"] = str(deadline_ms)
                received = ReceivedRequest(
                    "GET", "/", headers, b"", False, replica.replica_id, at_s
                )
                (replica.rejected if rejects else replica.ran).append(received)

    def arrivals(self):
        return find_arrivals(self.replicas, self.calls)

    def retry_violations(self):
        violations, _ = find_retry_violations(
            self.arrivals(), self.calls.values(), BOUNDS
        )
        return violations

    def test_repeated_arrivals_beyond_the_limit_are_found(self):
        self.send(5, (0.0, 0.1), rejects=True)
        self.assertEqual(self.retry_violations(), [])
        self.send(1, (0.0, 0.1), rejects=True)
        self.assertEqual(len(self.retry_violations()), 1)

    def test_repeated_arrivals_of_two_windows_are_not_added_up(self):
        self.send(5, (0.0, 0.1))
        self.send(5, (10.2, 10.3))
        self.assertEqual(self.retry_violations(), [])

    def test_requests_of_the_window_before_count(self):
        self.send(25, (1.0,))
        self.send(8, (10.0, 10.1))
        self.assertEqual(self.retry_violations(), [])

    def test_runs_at_more_replicas_than_allowed_are_found(self):
        self.send(4, (0.0, 0.1, 0.2))
        for outages, count in (
            (ReplicaOutages(), 4),
            (ReplicaOutages(replaced_ids=frozenset({"i-0"})), 0),
            (ReplicaOutages(ends=[("i-0", 1.0)]), 0),
            (ReplicaOutages(ends=[("i-0", 9.0), ("i-3", 1.0)]), 4),
            (ReplicaOutages(cuts=[(1.0, 5.0)]), 0),
            (ReplicaOutages(cuts=[(5.0, 9.0)]), 4),
        ):
            with self.subTest(outages=outages):
                found = find_attempt_violations(self.arrivals(), lambda _: 2, outages)
                self.assertEqual(len(found), count)

    def test_time_limits_beyond_the_callers_are_found(self):
        for limit_ms in (None, CALLER_DEADLINE_MS + 600):
            with self.subTest(limit_ms=limit_ms):
                self.setUp()
                self.send(21, (0.0,), deadline_ms=limit_ms)
                violations, _ = find_time_limit_violations(self.arrivals())
                self.assertEqual(len(violations), 1)

    def test_time_limits_that_are_not_shortened_for_retries_are_found(self):
        self.send(21, (0.0, 1.2), deadline_ms=CALLER_DEADLINE_MS)
        violations, _ = find_time_limit_violations(self.arrivals())
        self.assertEqual(len(violations), 1)


if __name__ == "__main__":
    unittest.main()
