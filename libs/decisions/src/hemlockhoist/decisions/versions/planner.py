"""Which lanes may widen now."""

import msgspec

from hemlockhoist.decisions.versions.evidence import EFFECT_COUNT
from hemlockhoist.decisions.versions.move import FULL_PERMILLE, LaneShare
from hemlockhoist.decisions.versions.schedule import GATE_PERMILLE

# Answers of the new version before the first share grows to the unproven ceiling.
_MIN_FIRST_ANSWERS = 5
# Answers in one step below which no evidence suffices.
_MIN_STEP_ANSWERS = 5
# Traffic-weighted part of the idempotent lanes that has to have shown the new version
# under load before non-idempotent calls begin.
_GATE_FRACTION = 0.8
# Non-idempotent grants without a single idempotent one after which a pool counts as
# having no idempotent traffic: its calls begin one at a time.
NON_IDEMPOTENT_ONLY_GRANTS = 100
# Non-idempotent calls that a version may get before it is proven on them, one at a
# time. Coarse evidence takes 13 to 20 good answers; what has not come after twice
# that will not come.
MAX_TRIAL_CALLS = 40
# A lane with less than this part of the pool's traffic may rest on the evidence of
# the others, where its own can not come in time.
_LOW_TRAFFIC_FRACTION = 0.05
_PROVEN_FRACTION = 0.7


class Delay(msgspec.Struct, frozen=True, kw_only=True):
    """Why a move can not finish by its time.

    Parameters
    ==========
    reason : str
    late_ms : int
        How late it is expected to be; -1 where that can not be said.
    """

    reason: str
    late_ms: int


class Planner:
    """Decides on steps from the lanes' evidence and the schedule.

    Parameters
    ==========
    rules : hemlockhoist.declarations.VersionRules
    schedule : Schedule
    """

    __slots__ = ("_rules", "schedule")

    def __init__(self, rules, schedule):
        self._rules = rules
        self.schedule = schedule

    def is_trial(self, lane):
        """Return whether the lane's calls go to the new version one at a time."""
        return self._is_deferred(lane) and self.schedule.is_unproven(
            lane.share_permille
        )

    def wider_lanes(self, lanes, now_ms):
        """Return the wider shares that lanes may have now, each one step on.

        Parameters
        ==========
        lanes : sequence of Lane
        now_ms : int

        Returns
        =======
        tuple of LaneShare
            Of the lanes that widen.
        """
        wider = []
        for lane in lanes:
            share = self._share(lane, lanes, now_ms)
            if share > lane.share_permille:
                wider.append(
                    LaneShare(
                        route=lane.route,
                        idempotent=lane.idempotent,
                        share_permille=share,
                    )
                )
        return tuple(wider)

    def delay(self, lanes, now_ms):
        """Return why the move can not finish in time, or None."""
        late = None
        for lane in lanes:
            if lane.share_permille >= FULL_PERMILLE:
                continue
            found = self._lane_delay(lane, lanes, now_ms)
            if found and (late is None or found.late_ms > late.late_ms):
                late = found
        return late

    def _share(self, lane, lanes, now_ms):
        share = lane.share_permille
        if (
            lane.is_suspect
            or share >= FULL_PERMILLE
            or not self._may_start(lane, lanes)
        ):
            return share
        # Answers that take long are the ones that come last: a step that is judged
        # before they can have come is judged by the fast ones alone.
        if share and now_ms - lane.step_started_ms < lane.evidence.reference.longest_ms:
            return share
        if not self._may_be_proven(lane, lanes):
            return share
        plan, left_ms = self._plan(lane, lanes, now_ms)
        step = next(step for step in plan.steps if step > share)
        planned_ms = self.schedule.planned_ms(
            step, lane.idempotent, bool(self._deferred_lanes(lanes))
        )
        # Waiting for the planned time is given up where it would cost evidence.
        is_urgent = plan.expected_ms >= left_ms or plan.effect_index > 0
        if now_ms < planned_ms and not is_urgent:
            return share
        proven = self._is_proven(lane, lanes, step, plan, is_urgent, now_ms)
        return step if proven else share

    def _may_be_proven(self, lane, lanes):
        """Return whether a plan is worth working out: it costs more than this."""
        if lane.share_permille < self._rules.unproven_share_permille:
            return True
        return lane.evidence.proven(EFFECT_COUNT - 1) or self._has_low_traffic(
            lane, lanes
        )

    def _has_low_traffic(self, lane, lanes):
        total = sum(
            item.granted_count for item in lanes if item.idempotent is lane.idempotent
        )
        return lane.granted_count <= _LOW_TRAFFIC_FRACTION * total

    def _plan(self, lane, lanes, now_ms):
        """Return the lane's plan and the time that is left for it."""
        left_ms = self.schedule.end_ms - now_ms
        goal = FULL_PERMILLE
        deferred = self._deferred_lanes(lanes)
        if deferred and lane.idempotent and lane.share_permille < GATE_PERMILLE:
            left_ms = self.schedule.gate_deadline_ms(deferred, now_ms) - now_ms
            goal = GATE_PERMILLE
        return self.schedule.plan(lane, left_ms, now_ms, goal), left_ms

    def _deferred_lanes(self, lanes):
        """Return the lanes that go after the idempotent ones."""
        if not any(lane.idempotent for lane in lanes):
            return []
        return [lane for lane in lanes if self._is_deferred(lane)]

    def _may_start(self, lane, lanes):
        """Return whether non-idempotent calls may begin, or are not held back."""
        if lane.share_permille or not self._is_deferred(lane):
            return True
        ahead = [item for item in lanes if item.idempotent]
        total = sum(item.granted_count for item in ahead)
        if not ahead:
            return lane.granted_count >= NON_IDEMPOTENT_ONLY_GRANTS
        if not total:
            return all(item.share_permille >= GATE_PERMILLE for item in ahead)
        shown = [item for item in ahead if item.share_permille >= GATE_PERMILLE]
        return sum(item.granted_count for item in shown) >= _GATE_FRACTION * total

    def _is_deferred(self, lane):
        return self._rules.non_idempotent_last and not lane.idempotent

    def _is_proven(self, lane, lanes, step, plan, is_urgent, now_ms):
        # A lane that is held back has no answers to open with: its gate has opened.
        if not lane.share_permille:
            return True
        if self.schedule.is_unproven(step):
            return is_urgent or lane.evidence.answer_count >= _MIN_FIRST_ANSWERS
        # The trial of non-idempotent calls is short: they begin after the idempotent
        # ones have given evidence, and each of them is a risk of its own.
        index = EFFECT_COUNT - 1 if self.is_trial(lane) else plan.effect_index
        answered = lane.evidence.answer_count - lane.answers_at_step_start
        if answered >= _MIN_STEP_ANSWERS and lane.evidence.proven(index):
            return True
        return self._may_rely_on_peers(lane, lanes, now_ms)

    def _may_rely_on_peers(self, lane, lanes, now_ms):
        """Return whether a thin lane may follow its fellows without own evidence."""
        if not self._has_low_traffic(lane, lanes):
            return False
        peers = [item for item in lanes if item.idempotent is lane.idempotent]
        total = sum(item.granted_count for item in peers)
        plan, left_ms = self._plan(lane, lanes, now_ms)
        if plan.expected_ms <= left_ms:
            return False
        proven = [item for item in peers if item.share_permille >= GATE_PERMILLE]
        return sum(item.granted_count for item in proven) >= _PROVEN_FRACTION * total

    def _lane_delay(self, lane, lanes, now_ms):
        left_ms = self.schedule.end_ms - now_ms
        if self._may_rely_on_peers(lane, lanes, now_ms) and left_ms > 0:
            return None
        is_proven = lane.evidence.proven(EFFECT_COUNT - 1)
        is_exhausted = lane.new_count >= MAX_TRIAL_CALLS
        if self.is_trial(lane) and is_exhausted and not is_proven:
            reason = (
                f"{lane.route}: {MAX_TRIAL_CALLS} calls have not proven the version"
            )
            return Delay(reason=reason, late_ms=-1)
        plan = self.schedule.plan(lane, left_ms, now_ms)
        if plan.expected_ms <= left_ms:
            return None
        rate = lane.requests_per_s(now_ms)
        needed = lane.evidence.answers_needed(plan.effect_index)
        reason = (
            f"{lane.route}: at {rate:.2f} requests/s and a share of "
            f"{lane.share_permille} per mille the {needed} good answers that each "
            "step needs do not come in time"
        )
        late_ms = plan.expected_ms - left_ms
        return Delay(
            reason=reason, late_ms=int(late_ms) if late_ms < float("inf") else -1
        )
