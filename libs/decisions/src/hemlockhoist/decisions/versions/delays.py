"""Reports to operators on moves that will not finish in time."""

from hemlockhoist.decisions.versions.events import Late

# Interval between checks. The estimate is based on minutes of traffic and changes
# slowly.
CHECK_INTERVAL_MS = 5_000


class DelayMonitor:
    """Reports a delay at most twice: when it is expected, and at the "moved by" time.

    Parameters
    ==========
    row : Move
    planner : Planner
    """

    __slots__ = ("_checked_ms", "_planner", "_reported_stage", "_row")

    def __init__(self, row, planner):
        self._row = row
        self._planner = planner
        self._checked_ms = None
        self._reported_stage = 0

    def check(self, lanes, now_ms):
        """Return the delay to report now, if any.

        Parameters
        ==========
        lanes : LaneTable
        now_ms : int

        Returns
        =======
        list of Late
        """
        if (
            self._checked_ms is not None
            and now_ms - self._checked_ms < CHECK_INTERVAL_MS
        ):
            return []
        self._checked_ms = now_ms
        schedule = self._planner.schedule
        is_past = now_ms >= schedule.end_ms
        if self._reported_stage >= 1 + is_past or not schedule.is_estimate_reliable(
            now_ms
        ):
            return []
        delay = self._planner.delay(tuple(lanes), now_ms)
        if delay is None:
            return []
        self._reported_stage = 1 + is_past
        return [self._late(delay, now_ms)]

    def _late(self, delay, now_ms):
        return Late(
            move_id=self._row.move_id,
            pool=self._row.pool,
            version=self._row.to_version,
            at_ms=now_ms,
            reason=delay.reason,
            expected_late_ms=delay.late_ms,
        )
