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
from hemlockhoist.decisions.limits.quotas import USED_SHARE
from hemlockhoist.declarations import Allowance, KeyedCustomer

WINDOW_MS = 8_000
ALLOWANCE = Allowance(units_per_s=1_000, burst_units=2_000)
BOUND = 8 * 1_000 + 2_000


def book(overshoot=0.0, tolerance=0.0):
    made = QuotaTracker(QuotaBounds(WINDOW_MS, overshoot, tolerance))
    made.declare([KeyedCustomer(name="port", allowance=ALLOWANCE)])
    return made


class WindowTests(unittest.TestCase):
    def test_customer_within_its_declared_bound_is_not_refused(self):
        """A customer sends a burst that its operators grant, and is told to wait.

        A bucket that refills at the rate refuses what the bound of the window allows:
        after a first burst, every further one within the window.
        """
        made = book(tolerance=5_000)
        for second in range(8):
            self.assertEqual(made.acquire("port", 1_500, second * 1_000), 0)

    def test_hot_customer_is_held_to_its_bound(self):
        made = book()
        taken = sum(
            500 for at in range(0, WINDOW_MS, 50) if not made.acquire("port", 500, at)
        )
        self.assertLessEqual(taken, USED_SHARE * BOUND)
        self.assertGreater(taken, USED_SHARE * BOUND - 500)

    def test_told_time_is_when_there_is_room(self):
        made = book()
        made.acquire("port", 9_000, 0)
        wait_ms = made.acquire("port", 1_000, 100)
        self.assertGreater(made.acquire("port", 1_000, 100 + wait_ms // 2), 0)
        self.assertEqual(made.acquire("port", 1_000, 100 + wait_ms), 0)

    def test_request_beyond_the_whole_bound_runs_when_nothing_else_does(self):
        self.assertEqual(book().acquire("port", 10 * BOUND, 0), 0)

    def test_what_did_not_run_is_given_back(self):
        made = book()
        made.acquire("port", 9_000, 0)
        made.refund("port", 9_000, 10)
        self.assertEqual(made.acquire("port", 9_000, 20), 0)

    def test_lower_limit_counts_what_was_spent_before(self):
        made = book()
        made.acquire("port", 9_000, 0)
        lower = Allowance(units_per_s=100, burst_units=0)
        made.declare([KeyedCustomer(name="port", allowance=lower)])
        self.assertGreater(made.acquire("port", 10, 100), 0)

    def check_restart(self, former, spent_ms, back_ms):
        """Let a customer at its bound go on after a loss of all hosts."""
        taken = [at for at in spent_ms if not former.acquire("port", 100, at)]
        lost_ms = spent_ms[-1]
        record = former.usage_to_record(lost_ms)
        made = book()
        made.set_unknown_usage(UnknownUsage(fraction=1.0, since_ms=back_ms))
        made.add_recorded("former", record, lost_ms, back_ms)
        for at in range(back_ms, back_ms + 12_000, 20):
            if not made.acquire("port", 100, at):
                taken.append(at)
        for start in taken:
            inside = sum(100 for at in taken if start <= at < start + WINDOW_MS)
            self.assertLessEqual(inside, BOUND)

    def test_restart_of_all_hosts_gives_no_second_window(self):
        """A customer gets twice its allowance, and the others' requests are late.

        It was at its bound when all hosts were killed. The hosts that came back a
        second later knew nothing of what it had spent.
        """
        for down_ms in (200, 1_000, 3_000):
            with self.subTest(down_ms=down_ms):
                self.check_restart(book(), range(0, 8_000, 20), 8_000 + down_ms)
                self.check_restart(book(), range(0, 1_000, 10), 1_000 + down_ms)
                self.check_restart(book(), range(0, 1_000, 40), 1_000 + down_ms)

    def test_restart_refuses_nothing_of_the_usual(self):
        """Customers that send what they usually do are refused after a restart."""
        made = book()
        made.set_unknown_usage(UnknownUsage(fraction=1.0, since_ms=0))
        refused = [made.acquire("port", 100, at) for at in range(0, 12_000, 180)]
        self.assertEqual(set(refused), {0})

    def test_only_customers_that_spent_much_are_on_record(self):
        made = book()
        made.acquire("port", int(0.25 * BOUND), 0)
        self.assertEqual(made.usage_to_record(0), ())
        made.acquire("port", int(0.1 * BOUND), 500)
        self.assertEqual([name for name, _ in made.usage_to_record(500)], ["port"])

    def test_record_adds_nothing_to_what_hosts_have_told(self):
        made = book()
        made.add_reported("h1", [("port", [(100, 4_000)])], 1_000)
        made.add_recorded("former", [("port", [(300, 3_900)])], 1_000, 1_000)
        self.assertEqual(made.units_left("port", 1_000), int(0.88 * BOUND) - 4_000)

    def test_customer_without_allowance_is_not_counted(self):
        made = book()
        made.declare([KeyedCustomer(name="port")])
        self.assertEqual(made.acquire("port", 10**9, 0), 0)

    def test_hosts_on_both_sides_of_a_cut_give_out_their_parts(self):
        sides = [book(), book()]
        sides[0].set_share(0.7)
        sides[1].set_share(0.3)
        taken = sum(
            100
            for at in range(200)
            for side in sides
            if not side.acquire("port", 100, at)
        )
        self.assertLessEqual(taken, BOUND)

    @given(st.lists(st.tuples(st.integers(0, 900), st.integers(1, 4_000)), max_size=80))
    def test_no_window_ever_holds_more_than_the_bound(self, steps):
        made, now_ms, taken = book(overshoot=0.1, tolerance=500), 0, []
        bound = BOUND * 1.1 + 500
        for step_ms, units in steps:
            now_ms += step_ms
            if made.acquire("port", units, now_ms) == 0:
                taken.append((now_ms, units))
        for start, _ in taken:
            inside = [u for at, u in taken if start <= at < start + WINDOW_MS]
            self.assertLessEqual(sum(inside), bound)

    def test_no_window_runs_more_than_the_bound_where_requests_wait(self):
        """A customer runs 3 % more than its bound after a burst with a long queue."""
        made, ran = book(), []
        for at in range(0, 1_000, 10):
            if made.acquire("port", 100, at) == 0:
                made.retime("port", 100, at, at + 2_400)
                ran.append(at + 2_400)
        for at in range(3_500, 20_000, 20):
            if made.acquire("port", 100, at) == 0:
                ran.append(at)
        for start in ran:
            inside = sum(100 for at in ran if start <= at < start + WINDOW_MS)
            self.assertLessEqual(inside, BOUND)

    def test_examples_run(self):
        self.assertEqual(doctest.testmod(quotas).failed, 0)
        self.assertEqual(doctest.testmod(usage).failed, 0)


class TakeoverTests(unittest.TestCase):
    def test_new_home_counts_what_was_spent_under_the_one_before(self):
        """A customer runs twice its bound in one window.

        It is at its bound when the home dies. The next home begins with nothing
        counted, and gives the window's whole allowance again.
        """
        log, heir = UsageLog(WINDOW_MS), book()
        for at in range(0, 2_000, 100):
            log.add("dossiers", "h1", "port", 400, at)
        heir.add_reported("h3", log.report("dossiers", "h2", 2_000), 9_000)
        taken = sum(100 for _ in range(200) if not heir.acquire("port", 100, 9_000))
        self.assertLessEqual(taken, BOUND - 8_000)

    def test_what_a_home_gave_out_itself_is_not_taken_for_told(self):
        """A customer is served a tenth more than its bound after a loss of all hosts.

        The first wave of callers came before the new home had read what was on record.
        What it gave to them was taken for a part of the record.
        """
        heir = book()
        heir.acquire("port", 1_500, 0)
        heir.add_recorded("former", [("port", ((500, 7_000),))], 0, 30)
        self.assertEqual(heir.units_left("port", 30), int(USED_SHARE * BOUND) - 8_500)

    def test_what_was_refused_leaves_no_gap_in_the_record(self):
        """A customer is served 4 % more than its bound after a loss of all hosts.

        Requests that had taken from its allowance were refused a second later, and the
        record showed less than nothing spent in that second. The home that read it
        counted only what was newer.
        """
        former, heir = book(), book()
        former.acquire("port", 4_000, 0)
        former.acquire("port", 3_000, 1_000)
        for _ in range(3):
            former.refund("port", 1_000, 2_000)
        former.acquire("port", 1_000, 2_600)
        self.assertEqual(
            former.units_left("port", 2_600), int(USED_SHARE * BOUND) - 5_000
        )
        heir.add_recorded("former", former.usage_to_record(2_600), 2_600, 3_000)
        self.assertEqual(
            heir.units_left("port", 3_000), int(USED_SHARE * BOUND) - 5_000
        )

    def test_what_is_told_and_on_record_counts_once(self):
        spent = (("port", ((500, 3_000), (900, 2_000))),)
        for first, second in ((0, 1), (1, 0)):
            heir = book()
            for which in (first, second):
                if which:
                    heir.add_recorded("former", spent, 10, 10)
                else:
                    heir.add_reported("h1", spent, 10)
            left = int(USED_SHARE * BOUND) - 5_000
            self.assertEqual(heir.units_left("port", 10), left)

    def test_old_spending_is_not_told(self):
        log = UsageLog(WINDOW_MS)
        log.add("dossiers", "h1", "port", 400, 0)
        self.assertEqual(log.report("dossiers", "h2", 3 * WINDOW_MS), ())
        self.assertEqual(log.report("labels", "h2", 0), ())

    def test_home_is_not_told_what_it_counted_itself(self):
        log = UsageLog(WINDOW_MS)
        log.add("dossiers", "h1", "port", 400, 0)
        self.assertEqual(log.report("dossiers", "h1", 0), ())

    def test_host_that_is_home_again_counts_nothing_twice(self):
        """A customer within its bound is refused for seconds as homes change."""
        first, between = book(), book()
        log = UsageLog(WINDOW_MS)

        def serve(home, run, at):
            self.assertEqual(home.acquire("port", 400, at), 0)
            log.add("dossiers", run, "port", 400, at)

        for at in range(0, 2_000, 500):
            serve(first, "r1", at)
        between.add_reported("h1", log.report("dossiers", "r2", 2_000), 2_000)
        for at in range(2_000, 4_000, 500):
            serve(between, "r2", at)
        first.add_recorded("h2", between.usage_to_record(3_500), 3_500, 4_000)
        first.add_reported("h1", log.report("dossiers", "r1", 4_000), 4_000)
        left = first.units_left("port", 4_000)
        self.assertAlmostEqual(left, USED_SHARE * BOUND - 3_200, delta=400)
        for at in range(4_000, 6_000, 500):
            serve(first, "r1", at)
        between.add_reported("h1", log.report("dossiers", "r2", 6_000), 6_000)
        left = between.units_left("port", 6_000)
        self.assertEqual(left, int(USED_SHARE * BOUND) - 4_800)

    def test_accounts_never_add_up_to_more_than_can_have_been_given(self):
        """A customer stands far over its bound, and is refused for the whole window."""
        heir = book()
        for host in range(5):
            heir.add_reported(f"h{host}", [("port", ((100, 8_000),))], 1_000)
        self.assertEqual(heir.units_left("port", 1_000), 0)
        for _, parts in heir.usage_to_record(1_000):
            self.assertTrue(all(isinstance(units, int) for _, units in parts))
        self.assertGreater(heir.units_left("port", 1_000 + WINDOW_MS), BOUND / 2)

    @given(
        st.lists(
            st.tuples(st.integers(0, 600), st.integers(50, 900), st.booleans()),
            max_size=60,
        )
    )
    def test_no_window_holds_more_than_the_bound_as_homes_change(self, steps):
        """Two hosts are home by turns, and each tells the other what was spent."""
        homes, log = {"r1": book(), "r2": book()}, UsageLog(WINDOW_MS)
        run, now_ms, taken = "r1", 0, []
        for step_ms, units, changes in steps:
            now_ms += step_ms
            if changes:
                run = "r2" if run == "r1" else "r1"
                spent = log.report("dossiers", run, now_ms)
                homes[run].add_reported("h1", spent, now_ms)
            if homes[run].acquire("port", units, now_ms) == 0:
                log.add("dossiers", run, "port", units, now_ms)
                taken.append((now_ms, units))
        for start, _ in taken:
            inside = [u for at, u in taken if start <= at < start + WINDOW_MS]
            self.assertLessEqual(sum(inside), BOUND)
