import unittest

from hemlockhoist.decisions import Granted, Outcome, OutcomeKind, Upstream
from hemlockhoist.decisions.scheduling import DeclaredSlotsTracker, PoolScheduler
from hemlockhoist.decisions.scheduling.candidates import (
    LOCALITY_FRACTION,
    CandidateSelector,
    PlacementCandidate,
)
from hemlockhoist.decisions.scheduling.reliability import FailureRate
from hemlockhoist.decisions.scheduling.tests import builders as b
from hemlockhoist.declarations import Pool, PoolKind

LEFT_MS = 1_000
DOMAINS = "abcd"


def offer(first_ms, is_local, risk_ms=0.0):
    return PlacementCandidate(
        "near" if is_local else "far", first_ms, first_ms, risk_ms, is_local
    )


class OffersTests(unittest.TestCase):
    def taken(self, *offers, left_ms=LEFT_MS):
        made = CandidateSelector()
        for item in offers:
            made.add(item)
        return made.select(left_ms)

    def test_request_stays_in_its_domain_where_that_costs_little_of_its_time(self):
        """Three of four prompts cross between failure domains, for some milliseconds."""
        extra_ms = LOCALITY_FRACTION * LEFT_MS
        near = self.taken(offer(50, False), offer(50 + extra_ms, True))
        self.assertEqual(near, "near")
        far = self.taken(offer(50, False), offer(51 + extra_ms, True))
        self.assertEqual(far, "far")

    def test_request_leaves_its_domain_where_it_would_be_late_or_fail(self):
        self.assertEqual(self.taken(offer(0, False), offer(99, True, 400.0)), "far")
        late = self.taken(offer(10, False), offer(30, True), left_ms=20)
        self.assertEqual(late, "far")

    def test_late_request_goes_where_it_is_served_first(self):
        late = self.taken(offer(10, False), offer(12, True), left_ms=-5)
        self.assertEqual(late, "far")

    def test_domain_without_an_upstream_is_served_elsewhere(self):
        self.assertEqual(self.taken(offer(10, False)), "far")
        self.assertIsNone(self.taken())


class FailureRateTests(unittest.TestCase):
    def excess(self, ends, usual=0.05):
        made, now_ms = FailureRate(), 50 * len(ends)
        for number, failed in enumerate(ends):
            made.observe(failed, 50 * number)
        failures, answers = made.counts(now_ms)
        counts = (failures + usual * 100, answers + 100)
        return made.excess(counts, now_ms)

    def test_one_failure_among_many_answers_says_little(self):
        """Each error that any upstream answers at times moves its requests away."""
        self.assertEqual(self.excess([False] * 40 + [True]), 0.0)

    def test_failures_in_a_row_say_much(self):
        self.assertGreater(self.excess([False] * 20 + [True] * 6), 0.1)
        self.assertGreater(self.excess([True] * 3, usual=0.0), 0.3)

    def test_upstream_that_has_not_answered_yet_is_as_usual(self):
        self.assertEqual(self.excess([]), 0.0)


class DomainTests(unittest.TestCase):
    """A plain service with one upstream in each domain, far from full."""

    WORK_MS = 25

    def play(self, error_every=0, count=1_200):
        """Return how many of the answers came from another domain."""
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
                slots=6,
            )
            for name in DOMAINS
        ]
        sched.set_upstreams(upstreams, 0)
        crossed, under_way = 0, []
        for number in range(count):
            now_ms = 20 * number
            while under_way and under_way[0][0] <= now_ms:
                end_ms, grant_id, kind = under_way.pop(0)
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
            crossed += granted.grant.upstream_id != domain
            is_bad = error_every and number % error_every == 0
            kind = OutcomeKind.FAILED if is_bad else OutcomeKind.SUCCESS
            end_ms = now_ms + self.WORK_MS
            under_way.append((end_ms, granted.grant.grant_id, kind))
        return crossed / count

    def test_calls_stay_in_their_domain(self):
        """Three of four calls cross between failure domains, though all are free."""
        self.assertLess(self.play(), 0.02)

    def test_usual_errors_move_no_calls(self):
        """Some calls fail wherever they are sent, and each moved the next ones away."""
        self.assertLess(self.play(error_every=17), 0.1)
