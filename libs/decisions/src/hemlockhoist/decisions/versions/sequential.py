"""Sequential tests of a rate against a reference rate, with stated error rates.

Two questions are asked of the same answers. *Is it bad?* is a cumulative sum test: a
likelihood ratio that starts again from zero whenever it speaks for the version, so
that a long good past does not hide badness that begins late. It raises a suspicion,
which a fresh comparison confirms or clears. *Is it good enough for
the next step?* is a sequential probability ratio test over the answers since the
step began. Both look for several effects side by side: a version that always fails
is found in a few answers by the large effect, one that fails now and then by the
small one.
"""

import enum
import functools
import math

import msgspec

from hemlockhoist.decisions.versions.confirm import log_bayes_factor

# The cumulative sum starts anew at each zero, and every start may raise a false
# suspicion. Its limit is the logarithm of this number of starts, and the comparison
# that follows has to reach the stated error rate by itself: so that rate holds for a
# whole move and not for a single start.
CUSUM_RESTARTS = 500
# Routes and measures that are compared side by side in one move, each of which may
# raise a false alarm: the limit of each is raised, so that the rate holds for all.
_COMPARISONS = 10
# A suspicion is dropped when the answers since are this much likelier for a good
# version: 9 to 1.
_CLEAR_LIMIT = -math.log(9)
# Bad luck early in a step is forgotten up to this much: without the cap a good
# version would have to make up for it answer by answer.
_PROOF_CAP = 3.0
# A suspicion is confirmed with this many answers of the old version; where there are
# none, it stands by itself from so many bad answers on.
_MIN_COMPARED = 3
_EVALUATE_EVERY = 4
_MIN_BAD_UNCOMPARED = 20
_MIN_RATE = 0.001
_MAX_RATE = 0.98
# Reference rates are rounded to this many digits, so that the logarithms of a rate
# are worked out once.
_RATE_DIGITS = 3


class Verdict(enum.Enum):
    """What a test says of a rate."""

    CLEAR = "nothing"
    SUSPECT = "suspect"
    BAD = "bad"


class SequentialTest:
    """Tests whether a rate exceeds a reference by one of several effects.

    Parameters
    ==========
    effects : tuple of float
        Added to the reference rate, the smallest first.
    confirm_limit, proof_limit : float
        Logarithms of the likelihood ratio at which a verdict is given.

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
        "_suspicion",
        "_proof_limit",
        "_proofs",
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
        """Return a test with the stated error rates for one move.

        Parameters
        ==========
        effects : tuple of float
        false_alarm_permille : int
            How often a good version is taken for a bad one, at most.
        missed_permille : int
            How often a version that is bad by an effect passes one step.
        """
        confirm = math.log(1000 * _COMPARISONS / max(1, false_alarm_permille))
        proof = math.log(1000 / max(1, missed_permille))
        return cls(effects, confirm, proof)

    def observe(self, is_bad, window):
        """Take one answer.

        Parameters
        ==========
        is_bad : bool
        window : RateWindow
            Of the old version's answers.
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
        """Return what the answers say, beside the old version's at the same time."""
        suspect = self._suspicion
        if suspect is None:
            return Verdict.CLEAR
        new = (self.count - suspect.count, self.bad_count - suspect.bad_count)
        old = (window.count - suspect.old_count, window.bad_count - suspect.old_bad)
        if old[0] < _MIN_COMPARED and new[1] >= _MIN_BAD_UNCOMPARED:
            return Verdict.BAD
        # A good answer changes little: only some of them are worth the work.
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
        """Return whether the effect ``index`` is ruled out since the step began."""
        return self._proofs[index] <= -self._proof_limit

    def restart_proof(self):
        """Begin a step: earlier answers no longer speak for the version."""
        self._proofs = [0.0] * len(self._effects)

    def restart_alarm(self):
        """Forget what spoke against the version, as it was not the version's."""
        self._alarms = [0.0] * len(self._effects)
        self._suspicion = None

    def answers_needed(self, index, reference):
        """Return about how many good answers rule out the effect ``index``."""
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
    """Counts of both versions when a suspicion arose, and what raised it."""

    count: int
    bad_count: int
    old_count: int
    old_bad: int
    reference: float
    effect: float
    evaluated_bad: int = -1


@functools.lru_cache(maxsize=8192)
def _log_ratios(is_bad, reference, effects):
    """Return the logarithm of the likelihood ratio of one answer for each effect."""
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
