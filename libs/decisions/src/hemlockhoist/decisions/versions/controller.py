"""The controller of a pool's version move."""

from hemlockhoist.base import InvariantLog
from hemlockhoist.decisions.policy import VersionPolicy
from hemlockhoist.decisions.versions.checks import check_not_halted, check_share
from hemlockhoist.decisions.versions.delays import DelayMonitor
from hemlockhoist.decisions.versions.evaluator import VersionEvaluator
from hemlockhoist.decisions.versions.events import (
    Finished,
    Halted,
    TakenBack,
    Widened,
)
from hemlockhoist.decisions.versions.halts import HaltReasons
from hemlockhoist.decisions.versions.lanes import LaneTable
from hemlockhoist.decisions.versions.move import (
    FULL_PERMILLE,
    MoveAnnouncement,
    MoveState,
    finish_move,
    is_newer,
    record_idempotent_calls,
    roll_back_move,
    widen_move,
)
from hemlockhoist.decisions.versions.planner import MAX_TRIAL_CALLS, Planner
from hemlockhoist.decisions.versions.schedule import Schedule
from hemlockhoist.decisions.versions.trial import UNBOUNDED

# How long the new version is observed after the end of the move, while traffic can
# still be returned to the old one.
WATCH_MS = 600_000
# A home whose clock jumps by this much was suspended, and peers may have halted the
# version meanwhile. It grants the new version nothing until a peer or the store has
# reported the state of the move.
SUSPENSION_LIMIT_MS = 3_000
# Interval between planning rounds. Planning costs more than recording one answer, and
# only few answers arrive in between.
PLAN_INTERVAL_MS = 1_000
AUTHOR = "hemlockhoist"
_ROLLED_BACK_STATES = (MoveState.ROLLED_BACK, MoveState.CANCELLED)


class MoveController(VersionPolicy):
    """Splits a pool's traffic between two versions while one replaces the other.

    The host reads and writes the row: it calls ``wanted_row``, writes the result by
    compare-and-set, and passes the stored row to ``observe_row``. A share takes effect
    only after its row is written, so a new home that knows only the row never grants
    more than its predecessor did.
    """

    __slots__ = (
        "_delays",
        "_evaluator",
        "_events",
        "_finished_ms",
        "_halts",
        "_has_idempotent_calls",
        "_invariants",
        "_is_over",
        "_is_stale",
        "_lanes",
        "_last_time_ms",
        "_planned_ms",
        "_planner",
        "_pool",
        "_row",
        "_trial",
        "_unix_offset_ms",
        "_watch_ms",
    )

    def __init__(self, pool, now_ms, unix_offset_ms, invariants, trial, watch_ms):
        self._pool = pool
        self._trial = trial
        self._watch_ms = watch_ms
        self._unix_offset_ms = unix_offset_ms
        self._invariants = invariants
        self._halts = HaltReasons()
        self._events = []
        self._row = None
        # Whether this home served idempotent calls, in any move.
        self._has_idempotent_calls = False
        self._last_time_ms = now_ms
        self._is_stale = False

    @classmethod
    def from_config(
        cls,
        pool,
        move,
        now_ms,
        unix_ms,
        invariants=None,
        trial=UNBOUNDED,
        watch_ms=WATCH_MS,
    ):
        """Return a controller that continues from the state in the row.

        Parameters
        ==========
        pool : hemlockhoist.declarations.Pool
        move : Move or None
            Row from the store or from a peer's announcement.
        now_ms, unix_ms : int
            Time on the home's clock, and the Unix time at the same moment.
        invariants : hemlockhoist.base.InvariantLog, optional
        trial : TrialBound, optional
            Limit on the requests of an unproven version over all routes.
        watch_ms : int, optional
            How long the version is observed after the end of the move; 0 if the old
            version's upstreams stop at the end.
        """
        log = invariants if invariants is not None else InvariantLog(fatal=False)
        controller = cls(pool, now_ms, unix_ms - now_ms, log, trial, watch_ms)
        controller.observe_row(move, now_ms)
        controller._events.clear()
        return controller

    def record_unix_ms(self, now_ms, unix_ms):
        """Set the Unix time by which the times in later rows are converted.

        Needed by a home that starts before it has learned the time from the store.
        """
        self._unix_offset_ms = unix_ms - now_ms

    def redeclare(self, pool):
        """Set a changed declaration of the pool; a running move keeps its rules."""
        self._pool = pool

    @property
    def row(self):
        """Latest known row of the move, or None."""
        return self._row

    @property
    def is_over(self):
        """Whether the latest known move has ended, and no version is on trial."""
        return self._row is not None and self._is_over

    @property
    def excluded_upstreams(self):
        """Upstreams whose answers are bad while others of their version are good."""
        return frozenset(self._evaluator.excluded) if self._row else frozenset()

    @property
    def verdict(self):
        """``TakenBack`` event if this home found the version bad, otherwise None."""
        return self._evaluator.verdict if self._row else None

    def candidates(self, request, versions, now_ms):
        """Return the versions that may serve ``request``, in order of preference."""
        if self._row is None:
            return self._stable_version_only(versions)
        self._record_time(now_ms)
        return tuple(
            version
            for version in self._preferred_versions(request, now_ms)
            if version in versions and not self._is_halted(version)
        )

    def on_grant(self, request, version, now_ms, upstream_id=""):
        """Count a grant and check that it was within the share."""
        if self._row is None:
            return
        halted = self._halts.reason(self._row.move_id, version)
        check_not_halted(self._invariants, self._row, halted, version)
        if not self._is_counted(version):
            return
        self._evaluator.loads.count_grant(version, upstream_id, now_ms)
        self._has_idempotent_calls |= request.idempotent
        lane = self._lanes.get(request, now_ms)
        if version == self._row.to_version:
            lane.record_new_grant(request, upstream_id, now_ms)
            check_share(self._invariants, self._row, lane)
        else:
            lane.record_old_grant()

    def on_adopt(self, request, version, now_ms, upstream_id=""):
        """Count an in-flight grant that a previous home issued."""
        if not self._is_counted(version):
            return
        self._evaluator.loads.count_grant(version, upstream_id, now_ms)
        lane = self._lanes.get(request, now_ms)
        if version == self._row.to_version:
            lane.add_in_flight(request, upstream_id, now_ms)
        else:
            lane.old_outstanding += 1

    def on_forget(self, request, version, now_ms):
        """Stop counting a grant whose outcome will never be reported."""
        if self._is_counted(version):
            self._evaluator.forget(request, version, now_ms)

    def on_outcome(self, request, version, outcome, now_ms, upstream_id=""):
        """Record the outcome of a granted request as evidence."""
        if not self._is_counted(version):
            return
        lane = self._lanes.get(request, now_ms)
        if version == self._row.from_version:
            events = self._evaluator.observe_old(lane, outcome, version, now_ms)
        else:
            events = self._evaluator.observe_new(
                lane, request.request_id, outcome, upstream_id, now_ms
            )
        self._evaluator.record_report(request.entry_host, now_ms)
        self._apply_verdict(events, now_ms)

    def is_halted(self, version):
        """Return whether a version was halted in the latest known move."""
        return self._row is not None and self._is_halted(version)

    def halt(self, version, reason, now_ms):
        """Stop granting the version for the rest of this move, with immediate effect.

        Needs no store and no lease. A halted version stays halted until a new move,
        whatever is received or read afterwards.
        """
        if self._row is None:
            return
        if self._halts.add(self._row.move_id, version, reason):
            self._emit(Halted, version, now_ms, reason=reason)

    def tick(self, now_ms):
        """Evaluate overdue requests and return the events since the last call.

        Returns
        =======
        list of MoveEvent
        """
        if self._row is not None:
            self._record_time(now_ms)
            self._apply_verdict(self._evaluator.evaluate_overdue(now_ms), now_ms)
            self._end_watch(now_ms)
            self._check_for_delay(now_ms)
        events, self._events = self._events, []
        return events

    def wanted_row(self, now_ms, fencing=None):
        """Return the row that the host should write, or None.

        Parameters
        ==========
        now_ms : int
        fencing : int, optional
            Fencing token of a live lease that the host holds. Without one, only a
            roll-back is returned, as larger shares need a live lease.
        """
        row = self._row
        if row is None or row.state in _ROLLED_BACK_STATES:
            return None
        reason = self._halts.reason(row.move_id, row.to_version)
        if reason is not None:
            return roll_back_move(row, row.move_id, reason, AUTHOR)
        if row.state is not MoveState.RUNNING or not self._may_widen(fencing):
            return None
        if now_ms - self._planned_ms < PLAN_INTERVAL_MS:
            return None
        self._planned_ms = now_ms
        self._evaluator.loads.forget_idle(now_ms)
        return self._wider_row(now_ms, fencing)

    def lone_end(self, now_ms, fencing=None):
        """Return the row that ends a move whose new version alone can serve, or None.

        Parameters
        ==========
        now_ms : int
        fencing : int, optional
            As with ``wanted_row``.
        """
        row = self._row
        if row is None or row.state is not MoveState.RUNNING:
            return None
        if self._is_halted(row.to_version) or not self._may_widen(fencing):
            return None
        if not self._is_tried(now_ms):
            return None
        reason = "no other version can serve, and its answers are good"
        unix_ms = now_ms + self._unix_offset_ms
        return finish_move(row, row.move_id, reason, AUTHOR, fencing, unix_ms)

    def observe_row(self, row, now_ms):
        """Apply a row from the store or from a peer.

        Ignores rows of an older move, rows that would return a final state to running,
        and smaller shares under an older lease, as announcements of peers arrive late
        and out of order.
        """
        if row is None:
            return
        self._is_stale = False
        self._last_time_ms = now_ms
        previous = self._row
        if previous is None or row.move_id != previous.move_id:
            if previous is None or row.started_unix_ms > previous.started_unix_ms:
                self._begin_move(row, now_ms)
        elif is_newer(row, previous):
            self._apply_row(row, now_ms)

    def announcement(self):
        """Return the announcement for peers, or None if there is no move."""
        if self._row is None:
            return None
        halted = self._halts.of_move(self._row.move_id)
        return MoveAnnouncement(row=self._row, halted=halted)

    def observe_announcement(self, announcement, now_ms):
        """Apply the row and the halted versions of a peer's announcement."""
        self.observe_row(announcement.row, now_ms)
        if self._row.move_id != announcement.row.move_id:
            return
        for version, reason in announcement.halted.items():
            self.halt(version, reason, now_ms)

    # Selection of versions.

    def _stable_version_only(self, versions):
        stable = self._pool.stable_version
        if not stable:
            return tuple(versions)
        return (stable,) if stable in versions else ()

    def _preferred_versions(self, request, now_ms):
        row = self._row
        old, new = row.from_version, row.to_version
        if self._is_halted(new):
            return (old,)
        if self._is_over:
            return (row.serving_version,)
        if self._is_stale and row.state is MoveState.RUNNING:
            return (old,)
        lane = self._lanes.get(request, now_ms)
        is_full = lane.effective_permille >= FULL_PERMILLE
        if not lane.is_due or not self._may_add_in_flight(lane, now_ms):
            return (old, new) if is_full else (old,)
        return (new, old)

    def _is_halted(self, version):
        return self._halts.reason(self._row.move_id, version) is not None

    def _is_counted(self, version):
        row = self._row
        if row is None or self._is_over:
            return False
        return version in (row.from_version, row.to_version)

    def _may_add_in_flight(self, lane, now_ms):
        """Return whether the new version may hold one more unanswered request."""
        if not self._is_trial_open(lane, now_ms):
            return False
        if lane.effective_permille >= FULL_PERMILLE:
            return lane.outstanding < lane.max_outstanding_at_full_share
        if not self._planner.is_trial(lane):
            return lane.outstanding < lane.max_outstanding
        # One at a time: an unproven version gets the next non-idempotent request only
        # when the previous one has been answered or counted as overdue.
        return lane.outstanding == 0 and lane.new_count < MAX_TRIAL_CALLS

    def _is_trial_open(self, lane, now_ms):
        """Return whether the trial bound allows one more request."""
        schedule = self._planner.schedule
        trial = list(self._lanes)
        if schedule.elapsed_fraction(now_ms) >= self._trial.until_fraction:
            if not schedule.is_unproven(lane.share_permille):
                return True
            trial = [x for x in trial if schedule.is_unproven(x.share_permille)]
        new = sum(item.new_count for item in trial)
        return self._trial.allows(new, sum(item.granted_count for item in trial))

    # Progress of a move.

    def _begin_move(self, row, now_ms):
        rules = self._pool.version_rules
        start_ms = row.started_unix_ms - self._unix_offset_ms
        end_ms = row.moved_by_unix_ms - self._unix_offset_ms
        self._row = row
        self._lanes = LaneTable(row, rules, now_ms)
        self._evaluator = VersionEvaluator(row, self._lanes, rules)
        self._planner = Planner(rules, Schedule(rules, start_ms, end_ms))
        self._delays = DelayMonitor(row, self._planner)
        self._planned_ms = now_ms - PLAN_INTERVAL_MS
        self._finished_ms = None
        self._is_over = row.state is not MoveState.RUNNING
        if row.state is MoveState.FINISHED:
            # A home that takes over after the end has no answers of the old version
            # to compare with; it compares with the new version's own past answers.
            self._finished_ms = row.ended_unix_ms - self._unix_offset_ms
            self._is_over = now_ms - self._finished_ms >= self._watch_ms
        self._halts.forget_others(row.move_id)
        self._halt_if_rolled_back(now_ms)

    def _apply_row(self, row, now_ms):
        previous, self._row = self._row, row
        for lane in self._lanes.apply_row(row, now_ms):
            self._emit(
                Widened,
                row.to_version,
                now_ms,
                route=lane.route,
                idempotent=lane.idempotent,
                share_permille=lane.share_permille,
            )
        if row.state is not previous.state:
            self._end_move(row, now_ms)

    def _end_move(self, row, now_ms):
        if row.state is MoveState.FINISHED:
            self._finished_ms = now_ms
            late_ms = max(0, now_ms - self._planner.schedule.end_ms)
            self._emit(Finished, row.to_version, now_ms, late_ms=late_ms)
            self._end_watch(now_ms)
            return
        self._is_over = True
        self._halt_if_rolled_back(now_ms)

    def _halt_if_rolled_back(self, now_ms):
        if self._row.state in _ROLLED_BACK_STATES:
            self.halt(self._row.to_version, self._row.reason, now_ms)

    def _apply_verdict(self, events, now_ms):
        self._events += events
        for event in events:
            if isinstance(event, TakenBack):
                self.halt(event.version, event.reason, now_ms)

    def _may_widen(self, fencing):
        """Return whether the host's lease permits larger shares.

        A holder that was suspended past its lease has an older fencing token than the
        row, or has not yet learned what happened during the suspension.
        """
        if fencing is None or self._is_stale:
            return False
        return fencing >= self._row.fencing

    def _wider_row(self, now_ms, fencing):
        lanes = tuple(self._lanes)
        if (
            self._is_tried(now_ms)
            and lanes
            and all(x.share_permille >= FULL_PERMILLE for x in lanes)
        ):
            reason = "all routes are on the new version"
            unix_ms = now_ms + self._unix_offset_ms
            return finish_move(
                self._row, self._row.move_id, reason, AUTHOR, fencing, unix_ms
            )
        row = self._row
        if self._has_idempotent_calls:
            row = record_idempotent_calls(row)
        wider = self._planner.wider_lanes(lanes, now_ms, row.has_idempotent_calls)
        if not wider:
            return None
        known = {(item.route, item.idempotent): item for item in row.lanes}
        known |= {(item.route, item.idempotent): item for item in wider}
        return widen_move(row, row.move_id, tuple(known.values()), fencing)

    def _is_tried(self, now_ms):
        """Return whether the move has lasted for long enough to end."""
        elapsed = self._planner.schedule.elapsed_fraction(now_ms)
        return elapsed >= self._trial.min_end_fraction

    def _record_time(self, now_ms):
        if now_ms - self._last_time_ms > SUSPENSION_LIMIT_MS:
            self._is_stale = True
        self._last_time_ms = max(self._last_time_ms, now_ms)

    def _check_for_delay(self, now_ms):
        row = self._row
        if row.state is not MoveState.RUNNING or self._is_halted(row.to_version):
            return
        self._events += self._delays.check(self._lanes, now_ms)

    def _end_watch(self, now_ms):
        if self._finished_ms is None:
            return
        if now_ms - self._finished_ms < self._watch_ms:
            return
        self._is_over = True
        self._lanes.clear()

    # Events for operators.

    def _emit(self, kind, version, now_ms, **fields):
        event = kind(
            move_id=self._row.move_id,
            pool=self._row.pool,
            version=version,
            at_ms=now_ms,
            **fields,
        )
        self._events.append(event)
