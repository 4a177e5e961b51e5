"""Trial of a version by its own answers, where no other version can serve."""

import enum

from hemlockhoist.decisions.versions.evidence import (
    FAILED_KINDS,
    FAILURE_EFFECTS,
    UNINFORMATIVE_KINDS,
)
from hemlockhoist.decisions.versions.reference import RateWindow
from hemlockhoist.decisions.versions.sequential import SequentialTest, Verdict
from hemlockhoist.decisions.work import OutcomeKind

# Unanswered requests of a version that is not proven: one that hangs gets no more.
MAX_UNANSWERED = 12
# Answers needed before a version is proven.
MIN_ANSWERS = 10
# A version that has used up its bound is bad if more of its answers are failures, and
# otherwise proven: it would get no further request by which to find out.
MAX_FAILED_RATIO = 1 / 8
# A caller that leaves without any part of an answer after this long speaks against the
# version: one that hangs would never complete an answer.
HUNG_MS = 2_000
_LARGEST_EFFECT = len(FAILURE_EFFECTS) - 1


class OwnVerdict(enum.Enum):
    """Result of a version's trial by its own answers."""

    UNDECIDED = "undecided"
    PROVEN = "proven"
    BAD = "bad"


class OwnTrial:
    """Lets a version serve alone, within a bound until its own answers prove it.

    Load: a version is on trial, and all upstreams of the one that serves crash or are
    replaced. Without a trial requests would be refused for good beside live upstreams,
    while a bad version that gets them all would exceed its bound. The bound is that of
    a trial, with the requests that the version got before.

    Parameters
    ==========
    rules : hemlockhoist.declarations.VersionRules
    bound : TrialBound
    """

    __slots__ = (
        "_bad_count",
        "_bound",
        "_granted_count",
        "_new_count",
        "_reference",
        "_test",
        "_unanswered",
        "verdict",
    )

    def __init__(self, rules, bound):
        self._bound = bound
        self._reference = RateWindow()
        self._test = SequentialTest.from_error_rates(
            FAILURE_EFFECTS, rules.false_alarm_permille, rules.missed_permille
        )
        self._granted_count = 0
        self._new_count = 0
        # Whether each unanswered request may be repeated, by request id.
        self._unanswered = {}
        self.verdict = OwnVerdict.UNDECIDED

    def may_grant(self, request):
        """Return whether the version may get a request now."""
        if self.verdict is not OwnVerdict.UNDECIDED:
            return self.verdict is OwnVerdict.PROVEN
        if len(self._unanswered) >= MAX_UNANSWERED or self._is_exhausted():
            return False
        # A bad answer to a call that may not be repeated is a lost booking.
        return request.idempotent or all(self._unanswered.values())

    def count_other_grant(self):
        """Count a grant of a version that serves."""
        self._granted_count += 1

    def on_grant(self, request):
        """Count a grant of the version, alone or beside others."""
        self._granted_count += 1
        self._new_count += 1
        self._unanswered[request.request_id] = request.idempotent

    def observe_other(self, outcome):
        """Record an answer of a version that serves, as a reference."""
        is_failed = _is_failed(outcome)
        if is_failed is not None:
            self._reference.observe(is_failed)

    def observe(self, request, outcome):
        """Record an answer of the version to a request that was counted here.

        Parameters
        ==========
        request : WorkRequest
        outcome : Outcome
        """
        if request.request_id not in self._unanswered:
            return
        is_failed = _is_failed(outcome)
        if is_failed is None:
            self.forget(request)
            return
        self._unanswered.pop(request.request_id, None)
        self._test.observe(is_failed, self._reference)
        self.verdict = self._new_verdict()

    def forget(self, request):
        """Stop counting a request that shows nothing of the version."""
        if self._unanswered.pop(request.request_id, None) is not None:
            self._new_count -= 1
            self._granted_count -= 1

    def _is_exhausted(self):
        return not self._bound.allows(self._new_count, self._granted_count)

    def _new_verdict(self):
        test = self._test
        if test.verdict(self._reference) is Verdict.BAD:
            return OwnVerdict.BAD
        if self.verdict is not OwnVerdict.UNDECIDED:
            return self.verdict
        if test.count >= MIN_ANSWERS and test.proven(_LARGEST_EFFECT):
            return OwnVerdict.PROVEN
        if self._unanswered or not self._is_exhausted():
            return OwnVerdict.UNDECIDED
        is_bad = test.bad_count > MAX_FAILED_RATIO * test.count
        return OwnVerdict.BAD if is_bad else OwnVerdict.PROVEN


def _is_failed(outcome):
    """Return whether an answer is a failure, or None if it shows nothing."""
    if outcome.kind is OutcomeKind.CANCELLED:
        is_hung = outcome.first_token_ms < 0 and outcome.total_ms >= HUNG_MS
        return True if is_hung else None
    # Upstreams that end or turn requests away are replaced without a new version.
    is_reached = outcome.kind is not OutcomeKind.CONNECT_FAILED
    if outcome.kind in UNINFORMATIVE_KINDS or outcome.is_not_run or not is_reached:
        return None
    return outcome.kind in FAILED_KINDS
