"""Evidence for or against a new version on one lane."""

import collections
import enum
import math

from hemlockhoist.decisions.versions.reference import Reference
from hemlockhoist.decisions.versions.sequential import SequentialTest, Verdict
from hemlockhoist.decisions.work import OutcomeKind

FAILED_KINDS = frozenset(
    {
        OutcomeKind.FAILED,
        OutcomeKind.BROKE_OFF,
        OutcomeKind.TIMEOUT,
        OutcomeKind.CONNECT_FAILED,
    }
)
UNINFORMATIVE_KINDS = frozenset(
    {OutcomeKind.NOT_SENT, OutcomeKind.LINK_FAILED, OutcomeKind.LINK_LOST}
)


class Measure(enum.Enum):
    """Quantity compared between the versions; the value completes a sentence."""

    # Members are singletons, so identity hashing avoids hashing their names for each
    # answer.
    __hash__ = object.__hash__

    FAILURES = "failed or were overdue"
    FIRST_TOKEN = "had a slow first token"
    TIME_PER_TOKEN = "were slow between tokens"
    DURATION = "were slow in all"


# Effect sizes of fine, middle and coarse steps, smallest first. The fine one detects a
# version that fails one time in twenty; the coarse one proves a good version within
# some 13 answers, for routes with little traffic.
FAILURE_EFFECTS = (0.04, 0.12, 0.3)
SLOW_EFFECTS = (0.12, 0.25, 0.45)
EFFECT_COUNT = len(FAILURE_EFFECTS)
# How many latencies of the new version are compared for each one of the old version.
# Without this limit, when the new version has nearly all traffic and load rises, its
# many slow answers would be compared with a reference measured before the rise.
COMPARED_PER_REFERENCE = 4
MAX_COMPARISON_CREDIT = 16
# When the new version has all traffic, there are no simultaneous answers of the old
# one. Its latencies are compared with the last known thresholds times this factor.
FULL_SHARE_SLOW_FACTOR = 1.5
# With fewer answers of the old version, there is no reference to compare with.
_MIN_OLD_ANSWERS = 8
# Number of latest answers kept for attributing a fault to an upstream.
MAX_RECENT = 48


class LaneEvidence:
    """Answers of both versions on one lane and the tests of the new version.

    Parameters
    ==========
    rules : hemlockhoist.declarations.VersionRules
    """

    __slots__ = (
        "_comparison_credit",
        "has_all_traffic",
        "recent",
        "reference",
        "tests",
    )

    def __init__(self, rules):
        self.reference = Reference()
        self.tests = {
            measure: SequentialTest.from_error_rates(
                FAILURE_EFFECTS if measure is Measure.FAILURES else SLOW_EFFECTS,
                rules.false_alarm_permille,
                rules.missed_permille,
            )
            for measure in Measure
        }
        self.recent = collections.deque(maxlen=MAX_RECENT)
        self._comparison_credit = MAX_COMPARISON_CREDIT
        self.has_all_traffic = False

    @property
    def answer_count(self):
        """Number of answers of the new version that count as evidence."""
        return self.tests[Measure.FAILURES].count

    def observe_old(self, outcome, load):
        """Add an answer of the old version, at a load per upstream, as a reference."""
        if _is_uninformative(outcome, self.reference, load):
            return
        reference = self.reference
        is_overdue = outcome.total_ms > reference.overdue_ms(load)
        reference.failures.observe(outcome.kind in FAILED_KINDS or is_overdue)
        credit = self._comparison_credit + COMPARED_PER_REFERENCE
        self._comparison_credit = min(MAX_COMPARISON_CREDIT, credit)
        if outcome.kind is OutcomeKind.SUCCESS:
            reference.observe_longest(outcome.total_ms, load)
        for measure, value in latencies(outcome):
            _profile(reference, measure).observe(value, load)

    def observe_new(self, outcome, upstream_id, load, was_overdue=False):
        """Record an answer of the new version as evidence.

        Parameters
        ==========
        outcome : Outcome
        upstream_id : str
        load : float
            Recent grants per upstream of the new version.
        was_overdue : bool
            Whether the request was already counted as a failure while in flight.
        """
        if _is_uninformative(outcome, self.reference, load):
            return
        is_failed = outcome.kind in FAILED_KINDS
        if not was_overdue:
            is_overdue = outcome.total_ms > self.reference.overdue_ms(load)
            self._observe_failure(is_failed or is_overdue, upstream_id)
        if not is_failed:
            self._observe_latencies(outcome, upstream_id, load)
            self._observe_own_duration(outcome, load)

    def observe_overdue(self, upstream_id):
        """Count a request that is still in flight as a failure."""
        self._observe_failure(True, upstream_id)

    def verdict(self):
        """Return the verdict on the new version and the measure it is based on.

        Returns
        =======
        tuple of Verdict and Measure
            The measure is None if there is no evidence against the version.
        """
        suspect = None
        for measure, test in self.tests.items():
            verdict = test.verdict(self._rates(measure))
            if verdict is Verdict.BAD:
                return verdict, measure
            if verdict is Verdict.SUSPECT:
                suspect = measure
        if suspect is None:
            return Verdict.CLEAR, None
        return Verdict.SUSPECT, suspect

    def proven(self, effect_index):
        """Return whether the answers since the step began permit the next step."""
        for test in self.tests.values():
            if test.count and not test.proven(effect_index):
                return False
        return True

    def answers_needed(self, effect_index):
        """Return the approximate number of good answers that one step needs."""
        needs = [
            self.tests[Measure.FAILURES].answers_needed(
                effect_index, self.reference.failures.rate
            )
        ]
        for measure in (Measure.FIRST_TOKEN, Measure.TIME_PER_TOKEN, Measure.DURATION):
            profile = _profile(self.reference, measure)
            if profile.is_ready:
                needs.append(
                    self.tests[measure].answers_needed(effect_index, profile.rates.rate)
                )
        return max(needs)

    def restart_step(self):
        """Start a step, discarding the evidence in favour of the version."""
        for test in self.tests.values():
            test.restart_proof()

    def discard_upstream(self, upstream_id):
        """Discard the evidence caused by one bad upstream."""
        for test in self.tests.values():
            test.restart_alarm()
            test.restart_proof()
        kept = [item for item in self.recent if item[0] != upstream_id]
        self.recent = collections.deque(kept, maxlen=MAX_RECENT)

    def _rates(self, measure):
        if measure is Measure.FAILURES:
            return self.reference.failures
        return _profile(self.reference, measure).rates

    def _observe_failure(self, is_failed, upstream_id):
        self.tests[Measure.FAILURES].observe(is_failed, self.reference.failures)
        self.recent.append((upstream_id, Measure.FAILURES, is_failed))

    def _observe_latencies(self, outcome, upstream_id, load):
        if not self._use_comparison_credit():
            return
        factor = FULL_SHARE_SLOW_FACTOR if self.has_all_traffic else 1.0
        for measure, value in latencies(outcome):
            profile = _profile(self.reference, measure)
            slow_ms = profile.slow_ms(load) * factor
            if slow_ms == math.inf:
                continue
            is_slow = value > slow_ms
            self.tests[measure].observe(is_slow, profile.rates)
            self.recent.append((upstream_id, measure, is_slow))

    def _observe_own_duration(self, outcome, load):
        """Use the new version's own durations if the old version has too few.

        Failure prevented: a home takes over when the old version gets no more traffic,
        and the new version hangs from then on. Without any reference duration, no
        request would ever become overdue.
        """
        reference = self.reference
        if self.has_all_traffic and reference.failures.count < _MIN_OLD_ANSWERS:
            reference.observe_longest(outcome.total_ms, load)

    def _use_comparison_credit(self):
        if self.has_all_traffic:
            return True
        if self._comparison_credit < 1:
            return False
        self._comparison_credit -= 1
        return True


def _is_uninformative(outcome, reference, load):
    """Return whether an outcome carries no information about the upstream.

    This holds if the request never reached the upstream or the caller cancelled it. A
    cancellation after a time that is slow for the old version is informative: a
    version so slow that callers disconnect would never complete an answer.
    """
    if outcome.kind is OutcomeKind.CANCELLED:
        return outcome.total_ms <= reference.duration.slow_ms(load)
    return outcome.kind in UNINFORMATIVE_KINDS


def _profile(reference, measure):
    if measure is Measure.FIRST_TOKEN:
        return reference.first_token
    if measure is Measure.TIME_PER_TOKEN:
        return reference.time_per_token
    return reference.duration


def latencies(outcome):
    """Return pairs of measure and latency of an answer."""
    if outcome.kind is OutcomeKind.CANCELLED:
        return ((Measure.DURATION, float(outcome.total_ms)),)
    if outcome.kind is not OutcomeKind.SUCCESS or outcome.total_ms < 0:
        return ()
    latencies = [(Measure.DURATION, float(outcome.total_ms))]
    if outcome.first_token_ms >= 0:
        latencies.append((Measure.FIRST_TOKEN, float(outcome.first_token_ms)))
        if outcome.output_tokens > 1:
            decode_ms = outcome.total_ms - outcome.first_token_ms
            latencies.append(
                (Measure.TIME_PER_TOKEN, decode_ms / (outcome.output_tokens - 1))
            )
    return tuple(latencies)
