import doctest
import unittest

from hypothesis import given
from hypothesis import strategies as st

from hemlockhoist.decisions.limits import (
    QuotaBounds,
    QuotaTracker,
    UnknownUsage,
    UsageLog,
    quotas,
    usage,
)
from hemlockhoist.decisions.limits.quotas import USED_FRACTION
from hemlockhoist.decisions.limits.usage import UsageWindow
from hemlockhoist.declarations import KeyedCustomer, Quota

WINDOW_MS = 8_000
QUOTA = Quota(units_per_s=1_000, burst_units=2_000)
BOUND = 8 * 1_000 + 2_000


def new_tracker(overshoot=0.0, tolerance=0.0):
    tracker = QuotaTracker(QuotaBounds(WINDOW_MS, overshoot, tolerance))
    tracker.declare([KeyedCustomer(name="port", quota=QUOTA)])
    return tracker


class WindowTests(unittest.TestCase):
    def test_customer_within_its_declared_bound_is_not_refused(self):
        """Guards against refusing a burst within the declared bound.

        A token bucket that refills at the declared rate refuses load that the bound of
        the window allows: every burst after the first one in the window.
        """
        tracker = new_tracker(tolerance=5_000)
        for second in range(8):
            self.assertEqual(tracker.acquire("port", 1_500, second * 1_000), 0)

    def test_hot_customer_is_held_to_its_bound(self):
        tracker = new_tracker()
        acquired = sum(
            500
            for at in range(0, WINDOW_MS, 50)
            if not tracker.acquire("port", 500, at)
        )
        self.assertLessEqual(acquired, USED_FRACTION * BOUND)
        self.assertGreater(acquired, USED_FRACTION * BOUND - 500)

    def test_returned_wait_ends_when_units_are_available(self):
        tracker = new_tracker()
        tracker.acquire("port", 9_000, 0)
        wait_ms = tracker.acquire("port", 1_000, 100)
        self.assertGreater(tracker.acquire("port", 1_000, 100 + wait_ms // 2), 0)
        self.assertEqual(tracker.acquire("port", 1_000, 100 + wait_ms), 0)

    def test_request_beyond_the_whole_bound_runs_when_nothing_else_does(self):
        self.assertEqual(new_tracker().acquire("port", 10 * BOUND, 0), 0)

    def test_units_of_requests_that_did_not_run_are_refunded(self):
        tracker = new_tracker()
        tracker.acquire("port", 9_000, 0)
        tracker.refund("port", 9_000, 10)
        self.assertEqual(tracker.acquire("port", 9_000, 20), 0)

    def test_usage_before_a_lower_limit_is_counted(self):
        tracker = new_tracker()
        tracker.acquire("port", 9_000, 0)
        lower = Quota(units_per_s=100, burst_units=0)
        tracker.declare([KeyedCustomer(name="port", quota=lower)])
        self.assertGreater(tracker.acquire("port", 10, 100), 0)

    def test_customer_that_is_put_back_has_used_what_it_had(self):
        """Guards against a whole quota for a customer taken out for a moment."""
        tracker = new_tracker()
        tracker.acquire("port", 8_000, 0)
        tracker.declare([], 1_000)
        self.assertEqual(tracker.acquire("port", 8_000, 1_500), 0)
        tracker.declare([KeyedCustomer(name="port", quota=QUOTA)], 2_000)
        self.assertGreater(tracker.acquire("port", 8_000, 2_500), 0)

    def test_usage_of_a_customer_that_is_gone_is_forgotten(self):
        """Guards against memory that grows with each customer that was ever declared."""
        tracker = new_tracker()
        tracker.acquire("port", 8_000, 0)
        tracker.declare([], 2 * WINDOW_MS)
        self.assertEqual(tracker._usage, {})

    def check_total_loss(self, previous, request_times_ms, back_ms):
        """Let a customer at its bound continue after a loss of all hosts."""
        acquired = [
            at for at in request_times_ms if not previous.acquire("port", 100, at)
        ]
        lost_ms = request_times_ms[-1]
        record = previous.usage_to_record(lost_ms)
        tracker = new_tracker()
        tracker.set_unknown_usage(UnknownUsage(fraction=1.0, since_ms=back_ms))
        tracker.add_recorded("former", record, lost_ms, back_ms)
        for at in range(back_ms, back_ms + 12_000, 20):
            if not tracker.acquire("port", 100, at):
                acquired.append(at)
        for start in acquired:
            inside = sum(100 for at in acquired if start <= at < start + WINDOW_MS)
            self.assertLessEqual(inside, BOUND)

    def test_restart_of_all_hosts_does_not_grant_the_window_twice(self):
        """Guards against granting a quota twice when all hosts restart.

        A customer was at its bound when all hosts were killed. The hosts that restarted
        a second later had no record of its usage.
        """
        for down_ms in (200, 1_000, 3_000):
            with self.subTest(down_ms=down_ms):
                self.check_total_loss(
                    new_tracker(), range(0, 8_000, 20), 8_000 + down_ms
                )
                self.check_total_loss(
                    new_tracker(), range(0, 1_000, 10), 1_000 + down_ms
                )
                self.check_total_loss(
                    new_tracker(), range(0, 1_000, 40), 1_000 + down_ms
                )

    def test_restart_refuses_no_typical_usage(self):
        """Guards against refusing customers with typical load after a restart."""
        tracker = new_tracker()
        tracker.set_unknown_usage(UnknownUsage(fraction=1.0, since_ms=0))
        refused = [tracker.acquire("port", 100, at) for at in range(0, 12_000, 180)]
        self.assertEqual(set(refused), {0})

    def test_only_customers_with_high_usage_are_recorded(self):
        tracker = new_tracker()
        tracker.acquire("port", int(0.25 * BOUND), 0)
        self.assertEqual(tracker.usage_to_record(0), ())
        tracker.acquire("port", int(0.1 * BOUND), 500)
        self.assertEqual([name for name, _ in tracker.usage_to_record(500)], ["port"])

    def test_recorded_usage_that_hosts_have_reported_is_not_added(self):
        tracker = new_tracker()
        tracker.add_reported("h1", [("port", [(100, 4_000)])], 1_000)
        tracker.add_recorded("former", [("port", [(300, 3_900)])], 1_000, 1_000)
        self.assertEqual(tracker.units_left("port", 1_000), int(0.88 * BOUND) - 4_000)

    def test_customer_without_quota_is_not_counted(self):
        tracker = new_tracker()
        tracker.declare([KeyedCustomer(name="port")])
        self.assertEqual(tracker.acquire("port", 10**9, 0), 0)

    def test_hosts_in_both_partitions_grant_only_their_shares(self):
        partitions = [new_tracker(), new_tracker()]
        partitions[0].set_share(0.7)
        partitions[1].set_share(0.3)
        acquired = sum(
            100
            for at in range(200)
            for partition in partitions
            if not partition.acquire("port", 100, at)
        )
        self.assertLessEqual(acquired, BOUND)

    @given(st.lists(st.tuples(st.integers(0, 900), st.integers(1, 4_000)), max_size=80))
    def test_no_window_exceeds_the_bound(self, steps):
        tracker, now_ms, acquired = new_tracker(overshoot=0.1, tolerance=500), 0, []
        bound = BOUND * 1.1 + 500
        for step_ms, units in steps:
            now_ms += step_ms
            if tracker.acquire("port", units, now_ms) == 0:
                acquired.append((now_ms, units))
        for start, _ in acquired:
            inside = [u for at, u in acquired if start <= at < start + WINDOW_MS]
            self.assertLessEqual(sum(inside), bound)

    def test_no_window_exceeds_the_bound_when_requests_wait(self):
        """Guards against exceeding a bound by 3 % after a long queue."""
        tracker, ran = new_tracker(), []
        for at in range(0, 1_000, 10):
            if tracker.acquire("port", 100, at) == 0:
                tracker.retime("port", 100, at, at + 2_400)
                ran.append(at + 2_400)
        for at in range(3_500, 20_000, 20):
            if tracker.acquire("port", 100, at) == 0:
                ran.append(at)
        for start in ran:
            inside = sum(100 for at in ran if start <= at < start + WINDOW_MS)
            self.assertLessEqual(inside, BOUND)

    def test_examples_run(self):
        self.assertEqual(doctest.testmod(quotas).failed, 0)
        self.assertEqual(doctest.testmod(usage).failed, 0)


class TakeoverTests(unittest.TestCase):
    def test_new_home_counts_usage_under_the_previous_home(self):
        """Guards against granting a quota twice in one window at a takeover.

        A customer is at its bound when the home dies. The next home starts with no
        usage counted, and grants the quota of the whole window again.
        """
        log, successor = UsageLog(WINDOW_MS), new_tracker()
        for at in range(0, 2_000, 100):
            log.add("dossiers", "h1", "port", 400, at)
        successor.add_reported("h3", log.report("dossiers", "h2", 2_000), 9_000)
        acquired = sum(
            100 for _ in range(200) if not successor.acquire("port", 100, 9_000)
        )
        self.assertLessEqual(acquired, BOUND - 8_000)

    def test_units_granted_before_the_record_is_read_are_not_treated_as_reported(self):
        """Guards against exceeding a bound by a tenth after a loss of all hosts.

        The first wave of callers arrived before the new home had read the record, and
        the units granted to them were treated as part of the record.
        """
        successor = new_tracker()
        successor.acquire("port", 1_500, 0)
        successor.add_recorded("former", [("port", ((500, 7_000),))], 0, 30)
        self.assertEqual(
            successor.units_left("port", 30), int(USED_FRACTION * BOUND) - 8_500
        )

    def test_refunds_leave_no_negative_bucket_in_the_record(self):
        """Guards against exceeding a bound by 4 % after a loss of all hosts.

        Requests that had acquired units were refused a second later, and the refund
        made that second's bucket of the record negative. The home that read the record
        counted only the newer buckets.
        """
        previous, successor = new_tracker(), new_tracker()
        previous.acquire("port", 4_000, 0)
        previous.acquire("port", 3_000, 1_000)
        for _ in range(3):
            previous.refund("port", 1_000, 2_000)
        previous.acquire("port", 1_000, 2_600)
        self.assertEqual(
            previous.units_left("port", 2_600), int(USED_FRACTION * BOUND) - 5_000
        )
        successor.add_recorded("former", previous.usage_to_record(2_600), 2_600, 3_000)
        self.assertEqual(
            successor.units_left("port", 3_000), int(USED_FRACTION * BOUND) - 5_000
        )

    def test_usage_both_reported_and_recorded_counts_once(self):
        usage_by_customer = (("port", ((500, 3_000), (900, 2_000))),)
        for first, second in ((0, 1), (1, 0)):
            successor = new_tracker()
            for which in (first, second):
                if which:
                    successor.add_recorded("former", usage_by_customer, 10, 10)
                else:
                    successor.add_reported("h1", usage_by_customer, 10)
            left = int(USED_FRACTION * BOUND) - 5_000
            self.assertEqual(successor.units_left("port", 10), left)

    def test_expired_usage_is_not_reported(self):
        log = UsageLog(WINDOW_MS)
        log.add("dossiers", "h1", "port", 400, 0)
        self.assertEqual(log.report("dossiers", "h2", 3 * WINDOW_MS), ())
        self.assertEqual(log.report("labels", "h2", 0), ())

    def test_home_gets_no_report_of_usage_it_counted_itself(self):
        log = UsageLog(WINDOW_MS)
        log.add("dossiers", "h1", "port", 400, 0)
        self.assertEqual(log.report("dossiers", "h1", 0), ())

    def test_host_that_becomes_home_again_counts_nothing_twice(self):
        """Guards against refusing customers within their bound as homes change."""
        first, between = new_tracker(), new_tracker()
        log = UsageLog(WINDOW_MS)

        def serve(home, incarnation, at):
            self.assertEqual(home.acquire("port", 400, at), 0)
            log.add("dossiers", incarnation, "port", 400, at)

        for at in range(0, 2_000, 500):
            serve(first, "r1", at)
        between.add_reported("h1", log.report("dossiers", "r2", 2_000), 2_000)
        for at in range(2_000, 4_000, 500):
            serve(between, "r2", at)
        first.add_recorded("h2", between.usage_to_record(3_500), 3_500, 4_000)
        first.add_reported("h1", log.report("dossiers", "r1", 4_000), 4_000)
        left = first.units_left("port", 4_000)
        self.assertAlmostEqual(left, USED_FRACTION * BOUND - 3_200, delta=400)
        for at in range(4_000, 6_000, 500):
            serve(first, "r1", at)
        between.add_reported("h1", log.report("dossiers", "r2", 6_000), 6_000)
        left = between.units_left("port", 6_000)
        self.assertEqual(left, int(USED_FRACTION * BOUND) - 4_800)

    def test_reports_never_add_up_to_more_than_may_have_been_granted(self):
        """Guards against summing reports far over a bound for a whole window."""
        successor = new_tracker()
        for host in range(5):
            successor.add_reported(f"h{host}", [("port", ((100, 8_000),))], 1_000)
        self.assertEqual(successor.units_left("port", 1_000), 0)
        for _, buckets in successor.usage_to_record(1_000):
            self.assertTrue(all(isinstance(units, int) for _, units in buckets))
        self.assertGreater(successor.units_left("port", 1_000 + WINDOW_MS), BOUND / 2)

    @given(
        st.lists(
            st.tuples(st.integers(0, 600), st.integers(50, 900), st.booleans()),
            max_size=60,
        )
    )
    def test_no_window_exceeds_the_bound_as_homes_change(self, steps):
        """Two hosts alternate as home, and each gets a report of the other's usage."""
        homes, log = {"r1": new_tracker(), "r2": new_tracker()}, UsageLog(WINDOW_MS)
        incarnation, now_ms, acquired = "r1", 0, []
        for step_ms, units, changes in steps:
            now_ms += step_ms
            if changes:
                incarnation = "r2" if incarnation == "r1" else "r1"
                usage_by_customer = log.report("dossiers", incarnation, now_ms)
                homes[incarnation].add_reported("h1", usage_by_customer, now_ms)
            if homes[incarnation].acquire("port", units, now_ms) == 0:
                log.add("dossiers", incarnation, "port", units, now_ms)
                acquired.append((now_ms, units))
        for start, _ in acquired:
            inside = [u for at, u in acquired if start <= at < start + WINDOW_MS]
            self.assertLessEqual(sum(inside), BOUND)


class RetimedUsageTests(unittest.TestCase):
    def test_refund_of_a_queued_request_is_not_counted_twice(self):
        """Guards against a customer that is refused though it is within its quota.

        Two requests are queued at once, and a third is granted a second later. The first
        leaves the queue, and its refund is taken from the newest usage, which is that of
        the third; the second, and then the third, count from when they run.
        """
        window = UsageWindow(window_ms=8_000)
        window.add(20, now_ms=0)
        window.add(10, now_ms=1_000)
        window.subtract(10)
        window.retime(10, from_ms=0, now_ms=2_000)
        window.retime(10, from_ms=1_000, now_ms=2_000)
        self.assertEqual(window.total, 20)

    def test_usage_that_has_left_the_window_is_taken_from_no_other(self):
        window = UsageWindow(window_ms=8_000)
        window.add(10, now_ms=0)
        window.add(5, now_ms=9_000)
        window.expire(now_ms=9_000)
        window.retime(10, from_ms=0, now_ms=9_500)
        self.assertEqual(window.total, 15)
