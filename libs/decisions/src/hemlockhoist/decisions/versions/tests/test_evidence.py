import random
import unittest

from hemlockhoist.decisions.versions.evidence import LaneEvidence, Measure
from hemlockhoist.decisions.versions.sequential import Verdict
from hemlockhoist.decisions.versions.tests.fakes import answer, failed
from hemlockhoist.decisions.work import OutcomeKind
from hemlockhoist.declarations import model


class EvidenceCase(unittest.TestCase):
    def setUp(self):
        self.draw = random.Random(1)
        self.evidence = LaneEvidence(model.VersionRules())

    def latency(self, factor=1.0):
        return int(200 * factor * self.draw.lognormvariate(0, 0.4))

    def old(self, count, factor=1.0, load=1, fail=0.0):
        for _ in range(count):
            is_failed = self.draw.random() < fail
            outcome = failed() if is_failed else answer(self.latency(factor))
            self.evidence.observe_old(outcome, load)

    def new(self, count, factor=1.0, load=1, fail=0.0):
        """Return how many answers of the new version led to the verdict, or None."""
        for i in range(count):
            is_failed = self.draw.random() < fail
            outcome = failed() if is_failed else answer(self.latency(factor))
            self.evidence.observe_new(outcome, f"v2-{i % 3}", load)
            self.old(1, load=load)
            if self.evidence.verdict()[0] is Verdict.BAD:
                return i + 1
        return None

    def both(self, count, factor=1.0, fail=0.0):
        """Return whether a new version equal to the old one is found bad."""
        for i in range(count):
            self.old(1, factor, fail=fail)
            is_failed = self.draw.random() < fail
            outcome = failed() if is_failed else answer(self.latency(factor))
            self.evidence.observe_new(outcome, f"v2-{i % 3}", 1)
            if self.evidence.verdict()[0] is Verdict.BAD:
                return True
        return False


class VerdictTest(EvidenceCase):
    def test_constant_failure_is_detected_within_eight_answers(self):
        self.old(500)
        self.assertLessEqual(self.new(20, fail=1.0), 8)

    def test_failure_rate_of_one_in_five_is_detected_within_hundred_answers(self):
        self.old(500)
        self.assertLessEqual(self.new(300, fail=0.2), 100)

    def test_threefold_latency_is_detected(self):
        self.old(500)
        self.assertLessEqual(self.new(200, factor=3.0), 40)
        self.assertIs(self.evidence.verdict()[1], Measure.DURATION)

    def test_slow_cancellations_count_against_the_version(self):
        """Guards against a version so slow that all callers disconnect.

        It never completes an answer, so there are no latencies to compare. Only the
        time after which callers cancelled shows that it is slow.
        """
        self.old(500)
        for _ in range(20):
            outcome = answer(5_000, kind=OutcomeKind.CANCELLED)
            self.evidence.observe_new(outcome, "v2-1", 1)
            self.old(1)
        self.assertIs(self.evidence.verdict()[0], Verdict.BAD)

    def test_requests_that_were_not_sent_are_no_evidence(self):
        self.old(500)
        for _ in range(50):
            outcome = answer(0, kind=OutcomeKind.NOT_SENT)
            self.evidence.observe_new(outcome, "v2-1", 1)
        self.assertEqual(self.evidence.answer_count, 0)


class FalseAlarmTest(EvidenceCase):
    def test_fault_common_to_both_versions_gives_no_verdict(self):
        """Guards against a good version found bad because of a shared dependency.

        The dependency fails about a third of the calls of both versions and slows down
        the rest. The new version's answers may be the first to show it.
        """
        self.old(500)
        self.assertFalse(self.both(100, factor=3.0, fail=0.3))
        self.assertFalse(self.both(300))

    def test_latency_caused_by_load_gives_no_verdict(self):
        """Guards against a good version found bad because it has most of the load.

        Near the end of a move the old version's upstreams are idle. Loaded upstreams of
        either version are three times slower, so latencies must be compared at the same
        load.
        """
        self.old(400, factor=3.0, load=20)
        self.old(400, factor=1.0, load=1)
        for i in range(400):
            outcome = answer(self.latency(3.0))
            self.evidence.observe_new(outcome, f"v2-{i % 3}", 20)
            self.old(1, load=1)
            self.assertIsNot(self.evidence.verdict()[0], Verdict.BAD)

    def test_good_answers_prove_one_step_only(self):
        self.old(500)
        self.assertIsNone(self.new(300))
        self.assertTrue(self.evidence.proven(0))
        self.evidence.restart_step()
        self.assertFalse(self.evidence.proven(2))


if __name__ == "__main__":
    unittest.main()
