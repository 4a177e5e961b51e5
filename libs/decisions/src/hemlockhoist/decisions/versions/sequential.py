"""Sequential tests of a rate against a reference rate, with stated error rates.

Two tests run on the same answers. Whether the version is bad is decided by a cumulative
sum (CUSUM) test: a log-likelihood ratio that is reset to zero whenever it becomes
negative, so that a long good history does not hide a late degradation. When it exceeds
its limit, a comparison on new answers confirms or clears the suspicion. Whether the
version is good enough for the next step is decided by a sequential probability ratio
test (SPRT) over the answers since the step began. Both test several effect sizes in
parallel: the large one detects within a few answers a version that always fails, the
small one a version that fails occasionally.
"""

import enum
import functools
import math

import msgspec

from hemlockhoist.decisions.versions.confirm import log_bayes_factor

# The cumulative sum restarts at each zero, and each restart may raise a false
# suspicion. Its limit is the logarithm of this number of restarts, and the comparison
# that follows has to reach the stated error rate by itself, so that the rate holds for
# a whole move and not for a single restart.
CUSUM_RESTARTS = 500
# Assumed number of routes and measures tested in one move, each of which may raise a
# false alarm. The limit of each is raised so that the error rate holds for all
# together.
_COMPARISONS = 10
# A suspicion is cleared when the answers since then favour a good version by 9 to 1.
_CLEAR_LIMIT = -math.log(9)
# Upper limit of the SPRT statistic. Without it, a good version with a few bad answers
# early in a step would need as many good answers to offset each of them.
_PROOF_CAP = 3.0
# Answers of the old version needed to confirm a suspicion. With fewer, the new version
# is bad after ``_MIN_BAD_UNCOMPARED`` bad answers.
_MIN_COMPARED = 3
_EVALUATE_EVERY = 4
_MIN_BAD_UNCOMPARED = 20
_MIN_RATE = 0.001
_MAX_RATE = 0.98
# Reference rates are rounded to this many digits so that the cached logarithms of a
# rate can be reused.
_RATE_DIGITS = 3


class Verdict(enum.Enum):
    """Result of a test of a rate."""

    CLEAR = "nothing"
    SUSPECT = "suspect"
    BAD = "bad"


class SequentialTest:
    """Tests whether a rate exceeds a reference rate by one of several effect sizes.

    Parameters
    ==========
    effects : tuple of float
        Excess over the reference rate, the smallest first.
    confirm_limit, proof_limit : float
        Log-likelihood ratios at which the version counts as bad or as proven.

    Examples
    ========
    >>> from hemlockhoist.decisions.versions.reference import RateWindow
    >>> window = RateWindow()
    >>> test = SequentialTest.from_error_rates((0.04, 0.3), 10, 10)
    >>> for _ in range(20):
    ...     window.observe(False)
    >>> for _ in range(8):
    ...     window.observe(False)
    ...     test.observe(True, window)
    >>> test.verdict(window)
    <Verdict.BAD: 'bad'>
    """

    __slots__ = (
        "_alarm_limit",
        "_alarms",
        "_confirm_limit",
        "_effects",
        "_proof_limit",
        "_proofs",
        "_suspicion",
        "bad_count",
        "count",
        "reference",
    )

    def __init__(self, effects, confirm_limit, proof_limit):
        self._effects = effects
        self._alarm_limit = math.log(CUSUM_RESTARTS)
        self._confirm_limit = confirm_limit
        self._proof_limit = proof_limit
        self._alarms = [0.0] * len(effects)
        self._proofs = [0.0] * len(effects)
        self._suspicion = None
        self.count = 0
        self.bad_count = 0
        self.reference = 0.0

    @classmethod
    def from_error_rates(cls, effects, false_alarm_permille, missed_permille):
        """Return a test with the given error rates for one move.

        Parameters
        ==========
        effects : tuple of float
        false_alarm_permille : int
            Maximum rate at which a good version is found bad.
        missed_permille : int
            Rate at which a version that is worse by an effect size passes one step.
        """
        confirm = math.log(1000 * _COMPARISONS / max(1, false_alarm_permille))
        proof = math.log(1000 / max(1, missed_permille))
        return cls(effects, confirm, proof)

    def observe(self, is_bad, window):
        """Update the tests with one answer.

        Parameters
        ==========
        is_bad : bool
        window : RateWindow
            Rate of the old version.
        """
        reference = window.rate
        self.reference = reference
        self.count += 1
        self.bad_count += is_bad
        steps = _log_ratios(is_bad, round(reference, _RATE_DIGITS), self._effects)
        for i, step in enumerate(steps):
            proof = self._proofs[i] + step
            self._proofs[i] = proof if proof < _PROOF_CAP else _PROOF_CAP
            alarm = self._alarms[i] + step
            self._alarms[i] = alarm if alarm > 0.0 else 0.0
        if is_bad and self._suspicion is None:
            self._raise_suspicion(window)

    def verdict(self, window):
        """Return the verdict, given the old version's answers over the same period."""
        suspect = self._suspicion
        if suspect is None:
            return Verdict.CLEAR
        new = (self.count - suspect.count, self.bad_count - suspect.bad_count)
        old = (window.count - suspect.old_count, window.bad_count - suspect.old_bad)
        if old[0] < _MIN_COMPARED and new[1] >= _MIN_BAD_UNCOMPARED:
            return Verdict.BAD
        # Good answers change the factor little, so it is computed for some of them
        # only.
        if new[1] == suspect.evaluated_bad and sum(new + old) % _EVALUATE_EVERY:
            return Verdict.SUSPECT
        suspect.evaluated_bad = new[1]
        factor = log_bayes_factor(
            new, old, suspect.reference, suspect.effect, self._effects[0]
        )
        if factor >= self._confirm_limit and old[0] >= _MIN_COMPARED:
            return Verdict.BAD
        if factor > _CLEAR_LIMIT:
            return Verdict.SUSPECT
        self.restart_alarm()
        return Verdict.CLEAR

    def proven(self, index):
        """Return whether the answers of this step rule out the effect ``index``."""
        return self._proofs[index] <= -self._proof_limit

    def restart_proof(self):
        """Start a step, resetting the SPRT statistics."""
        self._proofs = [0.0] * len(self._effects)

    def restart_alarm(self):
        """Reset the CUSUM statistics and the suspicion."""
        self._alarms = [0.0] * len(self._effects)
        self._suspicion = None

    def answers_needed(self, index, reference):
        """Return how many answers of a good version rule out an effect on average."""
        return _answers_needed(
            round(reference, _RATE_DIGITS), self._effects, index, self._proof_limit
        )

    def _raise_suspicion(self, window):
        alarm = max(self._alarms)
        if alarm < self._alarm_limit:
            return
        effect = self._effects[self._alarms.index(alarm)]
        self._suspicion = _Suspicion(
            self.count,
            self.bad_count,
            window.count,
            window.bad_count,
            self.reference,
            effect,
        )


class _Suspicion(msgspec.Struct):
    """Counts of both versions when a suspicion was raised, and the effect size."""

    count: int
    bad_count: int
    old_count: int
    old_bad: int
    reference: float
    effect: float
    evaluated_bad: int = -1


@functools.lru_cache(maxsize=8192)
def _log_ratios(is_bad, reference, effects):
    """Return the log-likelihood ratio of one answer for each effect size."""
    base = min(max(reference, _MIN_RATE), _MAX_RATE - 0.01)
    rates = [min(base + effect, _MAX_RATE) for effect in effects]
    if is_bad:
        return tuple(math.log(rate / base) for rate in rates)
    return tuple(math.log((1 - rate) / (1 - base)) for rate in rates)


@functools.lru_cache(maxsize=8192)
def _answers_needed(reference, effects, index, proof_limit):
    bad = _log_ratios(True, reference, effects)[index]
    good = _log_ratios(False, reference, effects)[index]
    drift = reference * bad + (1 - reference) * good
    return math.ceil(proof_limit / max(-drift, 1e-6))
