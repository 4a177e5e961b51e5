"""The phase after a takeover in which a home does not yet know all grants."""

# Entry hosts report the grants they hold within a second of learning of a new home. The
# remaining time allows for one resend of a lost report.
RECOVERY_MS = 3_000
# With declared slots, load reports are not read; entry hosts answer within a few round
# trips, and the requests of dead ones are ending. Excess grants of this short time only
# wait in the upstreams' own queues, which costs less than granting nothing.
DECLARED_RECOVERY_MS = 200


class RecoveryPhase:
    """Bounds the grants of a new home by the load reports of the upstreams.

    When a home fails, its grants in flight are unknown to its successor until the entry
    hosts that hold them have reported. By known grants alone, the successor would grant
    all slots again, and every upstream would hold twice its limit. So in this phase an
    upstream without a load report gets no requests. One with a report is assumed to
    hold what it reported plus what was granted since, or the known grants if these are
    more.
    """

    __slots__ = ("_duration_ms", "_granted_ms", "_until_ms")

    def __init__(self, duration_ms=RECOVERY_MS):
        self._duration_ms = duration_ms
        self._until_ms = None
        self._granted_ms = {}

    def begin(self, now_ms):
        """Start the phase, which lasts at most its configured duration."""
        self._until_ms = now_ms + self._duration_ms
        self._granted_ms = {}

    def end(self):
        """End the phase: all entry hosts have reported their grants."""
        self._until_ms = None
        self._granted_ms = {}

    def is_active(self, now_ms):
        """Return whether the phase is in progress."""
        if self._until_ms is not None and now_ms >= self._until_ms:
            self.end()
        return self._until_ms is not None

    def record_grant(self, upstream_id, now_ms):
        """Record a grant that no report includes yet."""
        if self.is_active(now_ms):
            self._granted_ms.setdefault(upstream_id, []).append(now_ms)

    def assumed_in_flight(self, upstream_id, counted, report, now_ms):
        """Return how many requests an upstream is assumed to hold, or None if unknown.

        Parameters
        ==========
        upstream_id : str
        counted : int
            Number of grants that this home knows.
        report : tuple of int and LoadReport, or None
            Time at which the upstream's latest report was measured, and the report.
        now_ms : int
        """
        if not self.is_active(now_ms):
            return counted
        if report is None:
            return None
        measured_ms, load_report = report
        grants = self._granted_ms.get(upstream_id, ())
        granted_since = sum(1 for at_ms in grants if at_ms >= measured_ms)
        return max(counted, load_report.in_flight + load_report.queued + granted_since)
