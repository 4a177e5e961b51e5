"""Turn the answers of both versions into verdicts."""

import itertools

from hemlockhoist.decisions.versions.events import TakenBack, UpstreamSetApart
from hemlockhoist.decisions.versions.fault_attribution import single_bad_upstream
from hemlockhoist.decisions.versions.loads import VersionLoads
from hemlockhoist.decisions.versions.sequential import Verdict
from hemlockhoist.decisions.work import OutcomeKind


class VersionEvaluator:
    """Gathers evidence on a move's lanes and says when the version is bad.

    Parameters
    ==========
    row : Move
    lanes : LaneTable
    """

    __slots__ = (
        "_heard_ms",
        "_lanes",
        "_move_id",
        "_new",
        "_pool",
        "loads",
        "set_apart",
        "verdict",
    )

    def __init__(self, row, lanes):
        self._move_id = row.move_id
        self._pool = row.pool
        self._new = row.to_version
        self._lanes = lanes
        self._heard_ms = {}
        self.loads = VersionLoads()
        self.set_apart = set()
        self.verdict = None

    def observe_old(self, lane, outcome, version, now_ms):
        """Take an answer of the old version; return the events that follow."""
        lane.old_outstanding = max(0, lane.old_outstanding - 1)
        lane.evidence.observe_old(outcome, self.loads.load(version, now_ms))
        return self._judge(lane, now_ms) if lane.is_suspect else []

    def observe_new(self, lane, request_id, outcome, upstream_id, now_ms):
        """Take an answer of the new version; return the events that follow."""
        if outcome.kind is OutcomeKind.SUCCESS:
            lane.note_good()
        held = lane.release(request_id)
        if held is not None:
            upstream_id = upstream_id or held.upstream_id
        if upstream_id in self.set_apart or self.verdict is not None:
            return []
        load = self.loads.load(self._new, now_ms)
        overdue = held is not None and held.is_overdue
        lane.evidence.observe_new(outcome, upstream_id, load, overdue)
        return self._judge(lane, now_ms)

    def hear(self, entry_host, now_ms):
        """Note that an entry host is alive: it has reported an outcome."""
        self._heard_ms[entry_host] = now_ms

    def forget(self, request, version, now_ms):
        """Stop counting a request whose outcome nobody will report."""
        lane = self._lanes.get(request, now_ms)
        if version == self._new:
            lane.release(request.request_id)
        else:
            lane.old_outstanding = max(0, lane.old_outstanding - 1)

    def judge_overdue(self, now_ms):
        """Count answers that are overdue as failures; return what follows."""
        if self.verdict is not None:
            return []
        events = []
        load = self.loads.load(self._new, now_ms)
        for lane in self._lanes:
            for held in lane.newly_overdue(load, self._heard_ms, now_ms):
                if held.upstream_id not in self.set_apart:
                    lane.evidence.observe_overdue(held.upstream_id)
                    events += self._judge(lane, now_ms)
        return events

    def _judge(self, lane, now_ms):
        if self.verdict is not None:
            return []
        verdict, measure = lane.evidence.verdict()
        lane.is_suspect = verdict is Verdict.SUSPECT
        if verdict is not Verdict.BAD:
            return []
        recent = itertools.chain(*(item.evidence.recent for item in self._lanes))
        reference = lane.evidence.tests[measure].reference
        upstream_id = single_bad_upstream(recent, measure, reference)
        # One upstream may be at fault by itself; when a second one is bad as well,
        # what they share is the version.
        if upstream_id and not self.set_apart:
            return [self._set_apart(lane, upstream_id, measure, now_ms)]
        self.verdict = self._take_back(lane, measure, now_ms)
        return [self.verdict]

    def _set_apart(self, lane, upstream_id, measure, now_ms):
        self.set_apart.add(upstream_id)
        for item in self._lanes:
            item.evidence.forgive(upstream_id)
            item.is_suspect = False
        return UpstreamSetApart(
            move_id=self._move_id,
            pool=self._pool,
            version=self._new,
            at_ms=now_ms,
            upstream_id=upstream_id,
            reason=f"{lane.route}: its answers {measure.value}, its fellows' did not",
        )

    def _take_back(self, lane, measure, now_ms):
        test = lane.evidence.tests[measure]
        risky = [item for item in self._lanes if not item.idempotent]
        return TakenBack(
            move_id=self._move_id,
            pool=self._pool,
            version=self._new,
            at_ms=now_ms,
            route=lane.route,
            measure=measure.value,
            bad_count=test.bad_count,
            answer_count=test.count,
            reference_permille=round(1000 * test.reference),
            granted_count=sum(item.new_count for item in self._lanes),
            non_idempotent_count=sum(item.new_count for item in risky),
        )
