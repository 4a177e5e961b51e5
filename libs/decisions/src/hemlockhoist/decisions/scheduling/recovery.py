"""The time after a home has taken over, while it doesn't yet know all grants."""

# Entry hosts report the grants they hold within a second of learning of a new home.
# A report that is lost is sent again once within the rest.
RECOVERY_MS = 3_000
# Where upstreams declare their places, reports are not read; entry hosts answer within
# a few round trips, and what the dead ones held is ending. Too many grants for a moment
# only wait in the upstreams' own queues, which costs less than standing still.
DECLARED_RECOVERY_MS = 200


class RecoveryPhase:
    """Bounds what a new home grants by the upstreams' own load reports.

    Made for the death of a home: its grants in flight are unknown to the next one
    until the entry hosts that hold them have reported. Counting only what is known
    would grant a full set of places again, and every upstream would hold twice its
    limit. So in this phase an upstream without a load report gets nothing, and one
    with a report is taken to hold what it reports plus what was granted since, or
    what is known to be granted, whichever is more.
    """

    __slots__ = ("_duration_ms", "_granted_ms", "_until_ms")

    def __init__(self, duration_ms=RECOVERY_MS):
        self._duration_ms = duration_ms
        self._until_ms = None
        self._granted_ms = {}

    def begin(self, now_ms):
        """Start the phase, for at most its duration."""
        self._until_ms = now_ms + self._duration_ms
        self._granted_ms = {}

    def end(self):
        """End the phase: all entry hosts have reported their grants."""
        self._until_ms = None
        self._granted_ms = {}

    def is_active(self, now_ms):
        """Return whether the phase lasts."""
        if self._until_ms is not None and now_ms >= self._until_ms:
            self.end()
        return self._until_ms is not None

    def record_grant(self, upstream_id, now_ms):
        """Count a grant that no report includes yet."""
        if self.is_active(now_ms):
            self._granted_ms.setdefault(upstream_id, []).append(now_ms)

    def assumed_in_flight(self, upstream_id, counted, report, now_ms):
        """Return how many requests an upstream is taken to hold, or None if unknown.

        Parameters
        ==========
        upstream_id : str
        counted : int
            Grants that this home counts.
        report : tuple of int and LoadReport, or None
            When the upstream's last report was measured, and the report.
        now_ms : int
        """
        if not self.is_active(now_ms):
            return counted
        if report is None:
            return None
        measured_ms, load = report
        grants = self._granted_ms.get(upstream_id, ())
        since = sum(1 for at_ms in grants if at_ms >= measured_ms)
        return max(counted, load.in_flight + load.queued + since)
