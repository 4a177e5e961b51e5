"""Decisions on which lanes may increase their share."""

import msgspec

from hemlockhoist.decisions.versions.evidence import EFFECT_COUNT
from hemlockhoist.decisions.versions.move import FULL_PERMILLE, LaneShare
from hemlockhoist.decisions.versions.schedule import GATE_PERMILLE

# Answers of the new version needed before the first share is increased to the largest
# unproven share.
_MIN_FIRST_ANSWERS = 5
# Minimum number of answers in one step, whatever the tests say.
_MIN_STEP_ANSWERS = 5
# Traffic-weighted fraction of the idempotent lanes that must have reached the gate
# share before non-idempotent calls begin.
_GATE_FRACTION = 0.8
# After this many non-idempotent grants and no idempotent one, a pool is assumed to have
# no idempotent traffic, and its calls begin one at a time.
NON_IDEMPOTENT_ONLY_GRANTS = 100
# Maximum number of non-idempotent calls, one at a time, that a version gets before it
# is proven on them. The coarse test needs 13 to 20 good answers; if twice that has not
# proven the version, more calls are not expected to.
MAX_TRIAL_CALLS = 40
# A lane with at most this fraction of the traffic of its kind may rely on the evidence
# of the others if its own would not arrive in time.
_LOW_TRAFFIC_FRACTION = 0.05
# Traffic-weighted fraction of those other lanes that must have reached the gate share.
_PROVEN_FRACTION = 0.7


class Delay(msgspec.Struct, frozen=True, kw_only=True):
    """Reason why a move is not expected to finish in time.

    Parameters
    ==========
    reason : str
    late_ms : int
        Expected delay; -1 if it cannot be estimated.
    """

    reason: str
    late_ms: int


class Planner:
    """Plans the next steps of lanes by their evidence and the schedule.

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
        """Return whether the lane sends its calls to the new version one at a time."""
        return self._is_deferred(lane) and self.schedule.is_unproven(
            lane.share_permille
        )

    def wider_lanes(self, lanes, now_ms, has_idempotent_calls=False):
        """Return the shares that may be increased now, each by one step.

        Parameters
        ==========
        lanes : sequence of Lane
        now_ms : int
        has_idempotent_calls : bool, optional
            Whether the pool is known to get idempotent calls, though none of these
            lanes may be idempotent.

        Returns
        =======
        tuple of LaneShare
            New shares of the lanes whose share increases.
        """
        wider = []
        for lane in lanes:
            if not self._may_start(lane, lanes, has_idempotent_calls):
                continue
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
        """Return the longest expected delay of a lane, or None."""
        delays = [
            self._lane_delay(lane, lanes, now_ms)
            for lane in lanes
            if lane.share_permille < FULL_PERMILLE
        ]
        return max(filter(None, delays), key=_delay_rank, default=None)

    def _share(self, lane, lanes, now_ms):
        share = lane.share_permille
        if lane.is_suspect or share >= FULL_PERMILLE:
            return share
        # Slow answers arrive last. A step that is evaluated before they can have
        # arrived would be evaluated by the fast ones alone.
        if share and now_ms - lane.step_started_ms < lane.evidence.reference.longest_ms:
            return share
        if not self._may_be_proven(lane, lanes):
            return share
        plan, left_ms = self._plan(lane, lanes, now_ms)
        step = next(step for step in plan.steps if step > share)
        planned_ms = self.schedule.planned_ms(
            step, lane.idempotent, bool(self._deferred_lanes(lanes))
        )
        # The planned time is ignored if waiting for it would require weaker evidence.
        is_urgent = plan.expected_ms >= left_ms or plan.effect_index > 0
        if now_ms < planned_ms and not is_urgent:
            return share
        proven = self._is_proven(lane, lanes, step, plan, is_urgent, now_ms)
        return step if proven else share

    def _may_be_proven(self, lane, lanes):
        """Return whether the lane could be proven; cheaper than computing a plan."""
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
        """Return the lane's plan and the time left for it."""
        left_ms = self.schedule.end_ms - now_ms
        goal = FULL_PERMILLE
        deferred = self._deferred_lanes(lanes)
        if deferred and lane.idempotent and lane.share_permille < GATE_PERMILLE:
            left_ms = self.schedule.gate_deadline_ms(deferred, now_ms) - now_ms
            goal = GATE_PERMILLE
        return self.schedule.plan(lane, left_ms, now_ms, goal), left_ms

    def _deferred_lanes(self, lanes):
        """Return the lanes that wait for the idempotent ones."""
        if not any(lane.idempotent for lane in lanes):
            return []
        return [lane for lane in lanes if self._is_deferred(lane)]

    def _may_start(self, lane, lanes, has_idempotent_calls):
        """Return whether the lane has begun, is not deferred, or may begin now.

        Failure prevented: a home gets only non-idempotent calls for a while, takes the
        pool for one without others, and sends them to a version that was not tested.
        """
        if lane.share_permille or not self._is_deferred(lane):
            return True
        ahead = [item for item in lanes if item.idempotent]
        total = sum(item.granted_count for item in ahead)
        if not ahead and has_idempotent_calls:
            return False
        if not ahead:
            return lane.granted_count >= NON_IDEMPOTENT_ONLY_GRANTS
        if not total:
            return all(item.share_permille >= GATE_PERMILLE for item in ahead)
        shown = [item for item in ahead if item.share_permille >= GATE_PERMILLE]
        return sum(item.granted_count for item in shown) >= _GATE_FRACTION * total

    def _is_deferred(self, lane):
        return self._rules.non_idempotent_last and not lane.idempotent

    def _is_proven(self, lane, lanes, step, plan, is_urgent, now_ms):
        # A deferred lane has no answers yet; it begins when its gate opens.
        if not lane.share_permille:
            return True
        if self.schedule.is_unproven(step):
            return is_urgent or lane.evidence.answer_count >= _MIN_FIRST_ANSWERS
        # The trial of non-idempotent calls is short: they begin after the idempotent
        # ones have provided evidence, and each call may cause harm.
        index = EFFECT_COUNT - 1 if self.is_trial(lane) else plan.effect_index
        answered = lane.evidence.answer_count - lane.answers_at_step_start
        if answered >= _MIN_STEP_ANSWERS and lane.evidence.proven(index):
            return True
        return self._may_rely_on_peers(lane, lanes, now_ms)

    def _may_rely_on_peers(self, lane, lanes, now_ms):
        """Return whether a lane with little traffic may use its peers' evidence."""
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
            f"{lane.share_permille} per mille, the {needed} good answers needed for "
            "each step will not arrive in time"
        )
        late_ms = plan.expected_ms - left_ms
        return Delay(
            reason=reason, late_ms=int(late_ms) if late_ms < float("inf") else -1
        )


def _delay_rank(delay):
    """Return a key by which delays are ordered; one that is not known is longest."""
    return delay.late_ms < 0, delay.late_ms
