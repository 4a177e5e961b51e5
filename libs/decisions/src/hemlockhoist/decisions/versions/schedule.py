"""Schedule of the share increases of a move.

The steps are spread over the first part of the duration set by the operator, so that
each share is observed for a while. If there is too little traffic for that, each step
follows as soon as the evidence suffices. The number of steps, and the evidence that
each requires, are the most that the remaining time allows.
"""

import itertools

import msgspec

from hemlockhoist.decisions.versions.evidence import EFFECT_COUNT
from hemlockhoist.decisions.versions.move import FULL_PERMILLE

# Fractions of the time from the start to the "moved by" time. Idempotent calls go
# first, up to a share that shows the version under load, then non-idempotent calls. The
# rest is slack in case the traffic decreases.
_IDEMPOTENT_FRACTION = 0.35
_NON_IDEMPOTENT_FRACTIONS = (0.3, 0.75)
_SINGLE_PHASE_FRACTION = 0.75
# Minimum fraction for idempotent calls, however long the others need.
_MIN_IDEMPOTENT_FRACTION = 0.15
# Last share before the full one: one request in twenty stays on the old version as a
# control group until the end.
CONTROL_PERMILLE = 950
# Share at which idempotent calls have tested the version under load, so that
# non-idempotent ones may begin.
GATE_PERMILLE = 500
_PROVEN_STEPS = (120, 250, GATE_PERMILLE, CONTROL_PERMILLE, FULL_PERMILLE)
# Smaller steps for non-idempotent calls, where a bad answer may be a lost booking or a
# label issued twice.
_CAUTIOUS_STEPS = (100, 200, 350, 550, 800, CONTROL_PERMILLE, FULL_PERMILLE)
# Fewer steps if there is no time for all of them; each still has to be proven.
_REDUCED_STEPS = (250, 600, FULL_PERMILLE)
# Fraction of the duration after which expected delays are reported to operators.
_ESTIMATE_DELAY_FRACTION = 0.1
# Estimated durations are multiplied by this, as answers arrive irregularly.
_ESTIMATE_FACTOR = 1.3


class Plan(msgspec.Struct, frozen=True):
    """Plan of how a lane reaches its goal.

    Parameters
    ==========
    steps : tuple of int
        Shares in per mille.
    effect_index : int
        Effect size to rule out at each step; 0 requires the strongest evidence.
    expected_ms : float
        Expected duration from now if the version is good.
    """

    steps: tuple[int, ...]
    effect_index: int
    expected_ms: float


class Schedule:
    """Steps of a move and their planned times.

    Parameters
    ==========
    rules : hemlockhoist.declarations.VersionRules
    start_ms, end_ms : int
        Start of the move and its "moved by" time.
    """

    __slots__ = ("_reduced_steps", "_rules", "_steps", "end_ms", "start_ms")

    def __init__(self, rules, start_ms, end_ms):
        self._rules = rules
        self.start_ms = start_ms
        self.end_ms = end_ms
        cautious = _CAUTIOUS_STEPS if rules.non_idempotent_last else _PROVEN_STEPS
        self._steps = {
            True: _with_first_steps(rules, _PROVEN_STEPS),
            False: _with_first_steps(rules, cautious),
        }
        self._reduced_steps = _with_first_steps(rules, _REDUCED_STEPS)

    def is_unproven(self, share_permille):
        """Return whether a share is small enough to need no evidence."""
        return share_permille <= self._rules.unproven_share_permille

    def elapsed_fraction(self, now_ms):
        """Return the elapsed fraction of the move's duration."""
        return (now_ms - self.start_ms) / max(1, self.end_ms - self.start_ms)

    def is_estimate_reliable(self, now_ms):
        """Return whether enough time has elapsed for reliable estimates."""
        grace_ms = _ESTIMATE_DELAY_FRACTION * (self.end_ms - self.start_ms)
        return now_ms >= self.start_ms + grace_ms

    def planned_ms(self, share_permille, idempotent, has_deferred):
        """Return the planned time of a step.

        Parameters
        ==========
        share_permille : int
        idempotent : bool
        has_deferred : bool
            Whether the pool has non-idempotent calls that go last.
        """
        steps = self._steps[idempotent]
        begin, end = 0.0, _SINGLE_PHASE_FRACTION
        if has_deferred and idempotent:
            end = _IDEMPOTENT_FRACTION
        elif has_deferred:
            begin, end = _NON_IDEMPOTENT_FRACTIONS
        if share_permille >= FULL_PERMILLE:
            fraction = _SINGLE_PHASE_FRACTION
        else:
            before = sum(step < share_permille for step in steps)
            fraction = begin + (end - begin) * before / len(steps)
        return self.start_ms + int(fraction * (self.end_ms - self.start_ms))

    def gate_deadline_ms(self, deferred, now_ms):
        """Return the time by which idempotent calls should reach the gate share.

        Computed backwards from the end, leaving the time that the deferred lanes need.
        """
        window_ms = self.end_ms - self.start_ms
        needs = [self._min_duration_ms(lane, now_ms) for lane in deferred]
        latest = min(
            _IDEMPOTENT_FRACTION * window_ms, window_ms - max(needs, default=0)
        )
        return self.start_ms + max(_MIN_IDEMPOTENT_FRACTION * window_ms, latest)

    def plan(self, lane, left_ms, now_ms, goal_permille=FULL_PERMILLE):
        """Return the plan with the strongest evidence that fits into the time left.

        Parameters
        ==========
        lane : Lane
        left_ms : float
        now_ms : int
        goal_permille : int

        Returns
        =======
        Plan
            The shortest plan if none fits.
        """
        plan = None
        for steps, index in self._options(lane):
            expected = self._expected_ms(lane, steps, index, now_ms, goal_permille)
            plan = Plan(steps, index, expected)
            if expected <= left_ms:
                break
        return plan

    def _options(self, lane):
        steps = self._steps[lane.idempotent]
        for index in range(EFFECT_COUNT):
            yield steps, index
        yield self._reduced_steps, EFFECT_COUNT - 1

    def _min_duration_ms(self, lane, now_ms):
        """Return the expected duration of the lane's shortest plan."""
        index = EFFECT_COUNT - 1
        return self._expected_ms(
            lane, self._reduced_steps, index, now_ms, FULL_PERMILLE
        )

    def _expected_ms(self, lane, steps, index, now_ms, goal_permille):
        rate = lane.requests_per_s(now_ms)
        if rate <= 0:
            return float("inf")
        needed = lane.evidence.answers_needed(index)
        done = min(needed, lane.evidence.answer_count - lane.answers_at_step_start)
        longest_ms = lane.evidence.reference.longest_ms
        total_ms = 0.0
        for share in self._shares_to_prove(lane, steps, goal_permille):
            answers = needed - done if share == lane.share_permille else needed
            total_ms += 1000 * answers * FULL_PERMILLE / (rate * share) + longest_ms
        return total_ms * _ESTIMATE_FACTOR

    def _shares_to_prove(self, lane, steps, goal_permille):
        """Return the shares to be proven before the goal is reached."""
        later = (step for step in steps if step > lane.share_permille)
        shares = itertools.chain((lane.share_permille,), later)
        unproven = self._rules.unproven_share_permille
        return [share for share in shares if unproven <= share < goal_permille]


def _with_first_steps(rules, later):
    first = rules.first_share_permille
    unproven = max(first, rules.unproven_share_permille)
    beginning = (first,) if first == unproven else (first, unproven)
    return beginning + tuple(step for step in later if step > unproven)
