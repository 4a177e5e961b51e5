import random
import unittest

import msgspec

from hemlockhoist.decisions import Outcome, OutcomeKind, WorkRequest
from hemlockhoist.decisions.versions import OwnTrial, OwnVerdict, TrialBound
from hemlockhoist.decisions.versions.own_trial import MAX_UNANSWERED
from hemlockhoist.declarations import VersionRules

GOOD = Outcome(kind=OutcomeKind.SUCCESS, first_token_ms=20, total_ms=90)
FAILED = Outcome(kind=OutcomeKind.FAILED, total_ms=90)
LEFT = Outcome(kind=OutcomeKind.CANCELLED, total_ms=500)
HUNG = Outcome(kind=OutcomeKind.CANCELLED, total_ms=3_000)
REQUEST = WorkRequest(
    request_id="r",
    route="check",
    customer="c",
    tier_rank=0,
    deadline_ms=1_000,
    first_token_by_ms=500,
)
BOUND = TrialBound(share_permille=60, requests=30)
REQUESTS = 400
SEEDS = range(200)


class OwnTrialTests(unittest.TestCase):
    def setUp(self):
        self.trial = OwnTrial(VersionRules(), BOUND)
        self.number = 0

    def request(self, idempotent=True):
        self.number += 1
        return msgspec.structs.replace(
            REQUEST, request_id=f"r{self.number}", idempotent=idempotent
        )

    def answer(self, outcome):
        """Grant a request and answer it; return whether it was granted."""
        request = self.request()
        if not self.trial.may_grant(request):
            return False
        self.trial.on_grant(request)
        self.trial.observe(request, outcome)
        return True

    def play(self, seed, failing):
        """Return how many requests a version gets that fails a share of them."""
        self.trial = OwnTrial(VersionRules(), BOUND)
        rng = random.Random(seed)
        granted = 0
        for _ in range(REQUESTS):
            granted += self.answer(FAILED if rng.random() < failing else GOOD)
        return granted

    def test_sound_version_gets_all_requests_after_some_answers(self):
        """Guards against a service refused beside live upstreams of a sound version."""
        self.assertEqual(self.play(1, failing=0.0), REQUESTS)
        self.assertIs(self.trial.verdict, OwnVerdict.PROVEN)

    def test_version_that_fails_one_in_a_hundred_is_not_found_bad(self):
        verdicts = []
        for seed in SEEDS:
            self.play(seed, failing=0.01)
            verdicts.append(self.trial.verdict)
        self.assertEqual(set(verdicts), {OwnVerdict.PROVEN})

    def test_bad_version_gets_no_more_than_its_bound(self):
        """Guards against a bad version that gets all requests, as it serves alone."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                self.assertLessEqual(self.play(seed, failing=0.45), 33)
                self.assertIs(self.trial.verdict, OwnVerdict.BAD)

    def test_requests_of_the_trial_beside_others_count_for_the_bound(self):
        for _ in range(100):
            self.trial.count_other_grant()
        for _ in range(36):
            request = self.request()
            if self.trial.may_grant(request):
                self.trial.on_grant(request)
                self.trial.observe(request, FAILED)
        self.assertIs(self.trial.verdict, OwnVerdict.BAD)
        self.assertFalse(self.trial.may_grant(self.request()))

    def test_version_that_turns_bad_after_it_was_proven(self):
        for _ in range(40):
            self.answer(GOOD)
        failed = 0
        while self.answer(FAILED):
            failed += 1
        self.assertIs(self.trial.verdict, OwnVerdict.BAD)
        self.assertLess(failed, 50)

    def test_version_that_hangs_gets_no_more_requests(self):
        for _ in range(100):
            request = self.request()
            if self.trial.may_grant(request):
                self.trial.on_grant(request)
        self.assertEqual(self.trial._new_count, MAX_UNANSWERED)

    def test_callers_that_leave_a_version_that_hangs_show_it_bad(self):
        """Guards against a version that is never found out, as no answer ever comes."""
        granted = sum(self.answer(HUNG) for _ in range(REQUESTS))
        self.assertIs(self.trial.verdict, OwnVerdict.BAD)
        self.assertLessEqual(granted, 33)

    def test_callers_that_leave_early_show_nothing(self):
        for _ in range(100):
            self.assertTrue(self.answer(LEFT))
        self.assertIs(self.trial.verdict, OwnVerdict.UNDECIDED)

    def test_calls_that_may_not_be_repeated_go_one_at_a_time(self):
        """Guards against bookings lost at a version of which nothing is known."""
        call = self.request(idempotent=False)
        self.trial.on_grant(call)
        self.assertFalse(self.trial.may_grant(self.request(idempotent=False)))
        self.assertTrue(self.trial.may_grant(self.request()))
        self.trial.observe(call, GOOD)
        self.assertTrue(self.trial.may_grant(self.request(idempotent=False)))

    def test_answers_to_requests_of_another_trial_show_nothing(self):
        for _ in range(100):
            self.trial.observe(self.request(), FAILED)
        self.assertIs(self.trial.verdict, OwnVerdict.UNDECIDED)

    def test_requests_whose_hosts_are_gone_count_no_more(self):
        """Guards against a bound used up by requests that will never be answered."""
        for _ in range(100):
            request = self.request()
            self.assertTrue(self.trial.may_grant(request))
            self.trial.on_grant(request)
            self.trial.forget(request)
