import itertools
import unittest

from hypothesis import given
from hypothesis import strategies as st

from hemlockhoist.decisions import Granted, Outcome, OutcomeKind, Upstream
from hemlockhoist.decisions.scheduling import DeclaredSlotsTracker, PoolScheduler
from hemlockhoist.decisions.scheduling.candidates import (
    KEPT_CONNECTION_SAVING_MS,
    LOCALITY_FRACTION,
    CandidateSelector,
    PlacementCandidate,
)
from hemlockhoist.decisions.scheduling.reliability import FailureRate
from hemlockhoist.decisions.scheduling.tests import builders as b
from hemlockhoist.declarations import Pool, PoolKind

LEFT_MS = 1_000
DOMAINS = "abcd"


def candidate(first_ms, is_local, risk_ms=0.0):
    return PlacementCandidate(
        "local" if is_local else "remote", first_ms, first_ms, risk_ms, is_local
    )


def connected(first_ms, slowdown=1.0):
    """Return a local candidate to which a connection is kept."""
    saving_ms = KEPT_CONNECTION_SAVING_MS
    cost_ms = first_ms - saving_ms
    return PlacementCandidate(
        "connected", first_ms, cost_ms, 0.0, True, slowdown, saving_ms
    )


class CandidateSelectorTests(unittest.TestCase):
    def selected(self, *added, left_ms=LEFT_MS):
        selector = CandidateSelector()
        for item in added:
            selector.add(item)
        return selector.select(left_ms)

    def test_request_stays_in_its_domain_at_a_small_loss_of_time(self):
        """Guards against three of four prompts changing domains for milliseconds."""
        extra_ms = LOCALITY_FRACTION * LEFT_MS
        local = self.selected(candidate(50, False), candidate(50 + extra_ms, True))
        self.assertEqual(local, "local")
        remote = self.selected(candidate(50, False), candidate(51 + extra_ms, True))
        self.assertEqual(remote, "remote")

    def test_kept_connection_is_used_at_a_small_loss_of_time(self):
        """Guards against a connection that is not used since a remote one is quicker."""
        extra_ms = LOCALITY_FRACTION * LEFT_MS
        remote, local = candidate(50, False), candidate(49 + extra_ms, True)
        nearly_equal = connected(53 + extra_ms)
        for added in itertools.permutations((remote, local, nearly_equal)):
            self.assertEqual(self.selected(*added), "connected")
        slower = connected(56 + extra_ms)
        self.assertEqual(self.selected(remote, local, slower), "local")

    def test_kept_connection_does_not_make_a_request_leave_its_domain(self):
        """Guards against traffic between domains, as the connected one is too slow."""
        remote, local = candidate(50, False), candidate(60, True)
        for added in itertools.permutations((remote, local, connected(61, 1.3))):
            self.assertEqual(self.selected(*added), "local")

    @given(
        st.lists(st.tuples(st.integers(0, 300), st.booleans(), st.integers(0, 99))),
        st.integers(-100, 2_000),
    )
    def test_bound_excludes_no_candidate_that_would_be_selected(self, values, left_ms):
        """Guards against a connected candidate that hides a better one."""
        selectors = CandidateSelector(), CandidateSelector()
        for number, (first_ms, is_local, risk_ms) in enumerate(values):
            saving_ms = KEPT_CONNECTION_SAVING_MS * (number % 2)
            cost_ms = first_ms + risk_ms - saving_ms
            item = PlacementCandidate(
                number, first_ms, cost_ms, risk_ms, is_local, 1.0, saving_ms
            )
            selectors[0].add(item)
            bound_ms = first_ms - saving_ms
            if not selectors[1].is_dominated(bound_ms, is_local, saving_ms):
                selectors[1].add(item)
        self.assertEqual(*[selector.select(left_ms) for selector in selectors])

    def test_request_leaves_its_domain_if_it_would_be_late_or_fail(self):
        self.assertEqual(
            self.selected(candidate(0, False), candidate(99, True, 400.0)), "remote"
        )
        late = self.selected(candidate(10, False), candidate(30, True), left_ms=20)
        self.assertEqual(late, "remote")

    def test_late_request_goes_to_the_fastest_upstream(self):
        late = self.selected(candidate(10, False), candidate(12, True), left_ms=-5)
        self.assertEqual(late, "remote")

    def test_domain_without_an_upstream_is_served_by_another(self):
        self.assertEqual(self.selected(candidate(10, False)), "remote")
        self.assertIsNone(self.selected())


class ReportedSlowdownTests(unittest.TestCase):
    """A pool with an idle upstream in each failure domain."""

    def setUp(self):
        pool = Pool(name="halls", kind=PoolKind.MODEL, stable_version="")
        self.scheduler = PoolScheduler.from_config(
            pool, (), "i1", tracker=DeclaredSlotsTracker()
        )
        upstreams = [
            Upstream(
                upstream_id=domain,
                pool="halls",
                version="v1",
                address=f"{domain}:1",
                slot_count=4,
                failure_domain=domain,
            )
            for domain in DOMAINS
        ]
        self.scheduler.set_upstreams(upstreams, 0)

    def placed(self, percent=None):
        """Return where a request of domain a goes if the upstream there reports."""
        if percent is not None:
            self.scheduler.observe_slowdown("a", percent, 1_000, 1_000)
        request = b.request(
            now_ms=1_000, failure_domain="a", first_token_by_ms=20_000, prompt_tokens=64
        )
        (granted,) = self.scheduler.submit(request, 1_000)
        return granted.grant.upstream_id

    def test_upstream_that_reports_that_it_is_slow_is_not_preferred(self):
        """Guards against waiting at a slow upstream of the domain beside idle ones."""
        self.assertNotEqual(self.placed(250), "a")

    def test_small_slowdown_and_none_do_not_affect_locality(self):
        """Guards against traffic between domains for each fluctuation of a report."""
        for percent in (None, 100, 115):
            self.assertEqual(self.placed(percent), "a")


class FailureRateTests(unittest.TestCase):
    def excess(self, failures_in_order, others_rate=0.05):
        rate, now_ms = FailureRate(), 50 * len(failures_in_order)
        for number, failed in enumerate(failures_in_order):
            rate.observe(failed, 50 * number)
        failures, answers = rate.counts(now_ms)
        counts = (failures + others_rate * 100, answers + 100)
        return rate.excess(counts, now_ms)

    def test_one_failure_among_many_answers_is_ignored(self):
        """An occasional error must not move requests away from an upstream."""
        self.assertEqual(self.excess([False] * 40 + [True]), 0.0)

    def test_consecutive_failures_raise_the_rate(self):
        self.assertGreater(self.excess([False] * 20 + [True] * 6), 0.1)
        self.assertGreater(self.excess([True] * 3, others_rate=0.0), 0.3)

    def test_upstream_without_answers_has_no_excess(self):
        self.assertEqual(self.excess([]), 0.0)


class DomainTests(unittest.TestCase):
    """A plain service under low load, with one upstream in each failure domain."""

    WORK_MS = 25

    def run_calls(self, error_every=0, count=1_200):
        """Return the fraction of answers that came from another domain."""
        pool = Pool(name="halls", kind=PoolKind.SERVICE, stable_version="")
        sched = PoolScheduler.from_config(
            pool, (), "i1", tracker=DeclaredSlotsTracker()
        )
        upstreams = [
            Upstream(
                upstream_id=name,
                pool="halls",
                version="v1",
                address="127.0.0.1:1",
                failure_domain=name,
                slot_count=6,
            )
            for name in DOMAINS
        ]
        sched.set_upstreams(upstreams, 0)
        cross_domain_count, in_flight = 0, []
        for number in range(count):
            now_ms = 20 * number
            while in_flight and in_flight[0][0] <= now_ms:
                end_ms, grant_id, kind = in_flight.pop(0)
                total_ms = self.WORK_MS + end_ms % 9
                outcome = Outcome(kind=kind, total_ms=total_ms)
                sched.release(grant_id, outcome, end_ms)
            domain = DOMAINS[number % 4]
            request = b.request(
                now_ms=now_ms,
                prompt_tokens=0,
                output_tokens=0,
                failure_domain=domain,
                first_token_by_ms=now_ms + 168,
            )
            (granted,) = sched.submit(request, now_ms)
            self.assertIsInstance(granted, Granted)
            cross_domain_count += granted.grant.upstream_id != domain
            is_bad = error_every and number % error_every == 0
            kind = OutcomeKind.FAILED if is_bad else OutcomeKind.SUCCESS
            end_ms = now_ms + self.WORK_MS
            in_flight.append((end_ms, granted.grant.grant_id, kind))
        return cross_domain_count / count

    def test_calls_stay_in_their_domain(self):
        """Guards against three of four calls changing domains though all are free."""
        self.assertLess(self.run_calls(), 0.02)

    def test_typical_errors_move_no_calls(self):
        """Guards against moving the next calls after each single failure."""
        self.assertLess(self.run_calls(error_every=17), 0.1)
