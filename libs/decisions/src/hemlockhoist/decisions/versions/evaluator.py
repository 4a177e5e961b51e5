"""Evaluation of the new version by the answers of both versions."""

import itertools

from hemlockhoist.decisions.versions.events import TakenBack, UpstreamSetApart
from hemlockhoist.decisions.versions.evidence import Measure
from hemlockhoist.decisions.versions.fault_attribution import single_bad_upstream
from hemlockhoist.decisions.versions.loads import VersionLoads
from hemlockhoist.decisions.versions.pace import PaceEvidence
from hemlockhoist.decisions.versions.sequential import Verdict
from hemlockhoist.decisions.work import OutcomeKind

# Stands for the route where the answers on all of them were compared together.
ALL_ROUTES = "all routes"


class VersionEvaluator:
    """Collects evidence on the lanes of a move and decides if the version is bad.

    Parameters
    ==========
    row : Move
    lanes : LaneTable
    rules : hemlockhoist.declarations.VersionRules
    """

    __slots__ = (
        "_lanes",
        "_last_report_ms",
        "_move_id",
        "_new_version",
        "_pace",
        "_pool",
        "excluded",
        "loads",
        "verdict",
    )

    def __init__(self, row, lanes, rules):
        self._pace = PaceEvidence(rules)
        self._move_id = row.move_id
        self._pool = row.pool
        self._new_version = row.to_version
        self._lanes = lanes
        self._last_report_ms = {}
        self.loads = VersionLoads()
        self.excluded = set()
        self.verdict = None

    def observe_old(self, lane, outcome, version, now_ms):
        """Record an answer of the old version and return the resulting events."""
        lane.old_outstanding = max(0, lane.old_outstanding - 1)
        load = self.loads.load(version, now_ms)
        lane.evidence.observe_old(outcome, load)
        self._pace.observe_old(outcome, load)
        return self._evaluate(lane, now_ms) if lane.is_suspect else []

    def observe_new(self, lane, request_id, outcome, upstream_id, now_ms):
        """Record an answer of the new version and return the resulting events."""
        if outcome.kind is OutcomeKind.SUCCESS:
            lane.record_success()
        held = lane.remove_in_flight(request_id)
        if held is not None:
            upstream_id = upstream_id or held.upstream_id
        if upstream_id in self.excluded or self.verdict is not None:
            return []
        load = self.loads.load(self._new_version, now_ms)
        overdue = held is not None and held.is_overdue
        lane.evidence.observe_new(outcome, upstream_id, load, overdue)
        self._pace.observe_new(outcome, upstream_id, load)
        return self._evaluate(lane, now_ms)

    def record_report(self, entry_host, now_ms):
        """Record that an entry host has reported an outcome and is therefore alive."""
        self._last_report_ms[entry_host] = now_ms

    def forget(self, request, version, now_ms):
        """Stop counting a request whose outcome will never be reported."""
        lane = self._lanes.get(request, now_ms)
        if version == self._new_version:
            lane.remove_in_flight(request.request_id)
        else:
            lane.old_outstanding = max(0, lane.old_outstanding - 1)

    def evaluate_overdue(self, now_ms):
        """Count overdue answers as failures and return the resulting events."""
        if self.verdict is not None:
            return []
        events = []
        load = self.loads.load(self._new_version, now_ms)
        for lane in self._lanes:
            for held in lane.newly_overdue(load, self._last_report_ms, now_ms):
                if held.upstream_id not in self.excluded:
                    lane.evidence.observe_overdue(held.upstream_id)
                    events += self._evaluate(lane, now_ms)
        return events

    def _evaluate(self, lane, now_ms):
        if self.verdict is not None:
            return []
        verdict, measure = lane.evidence.verdict()
        pace = self._pace.verdict()
        lane.is_suspect = Verdict.SUSPECT in (verdict, pace)
        if verdict is Verdict.BAD:
            recent = itertools.chain(*(item.evidence.recent for item in self._lanes))
            test = lane.evidence.tests[measure]
            return self._condemn(lane.route, measure, test, recent, now_ms)
        if pace is Verdict.BAD:
            measure, evidence = Measure.TIME_PER_TOKEN, self._pace
            test, recent = evidence.test, evidence.recent
            return self._condemn(ALL_ROUTES, measure, test, recent, now_ms)
        return []

    def _condemn(self, route, measure, test, recent, now_ms):
        """Set one bad upstream apart, or take the version back."""
        upstream_id = single_bad_upstream(recent, measure, test.reference)
        # A single upstream may be faulty on its own. If a second one is bad as well,
        # the fault is attributed to the version that they share.
        if upstream_id and not self.excluded:
            return [self._exclude(route, upstream_id, measure, now_ms)]
        self.verdict = self._roll_back(route, measure, test, now_ms)
        return [self.verdict]

    def _exclude(self, route, upstream_id, measure, now_ms):
        self.excluded.add(upstream_id)
        self._pace.discard_upstream(upstream_id)
        for item in self._lanes:
            item.evidence.discard_upstream(upstream_id)
            item.is_suspect = False
        return UpstreamSetApart(
            move_id=self._move_id,
            pool=self._pool,
            version=self._new_version,
            at_ms=now_ms,
            upstream_id=upstream_id,
            reason=(
                f"{route}: answers of this upstream {measure.value}, "
                "those of the version's other upstreams did not"
            ),
        )

    def _roll_back(self, route, measure, test, now_ms):
        risky = [item for item in self._lanes if not item.idempotent]
        return TakenBack(
            move_id=self._move_id,
            pool=self._pool,
            version=self._new_version,
            at_ms=now_ms,
            route=route,
            measure=measure.value,
            bad_count=test.bad_count,
            answer_count=test.count,
            reference_permille=round(1000 * test.reference),
            granted_count=sum(item.new_count for item in self._lanes),
            non_idempotent_count=sum(item.new_count for item in risky),
        )
