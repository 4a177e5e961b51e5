"""Refusals that come before any question of places: allowances and retries."""

from hemlockhoist.base import ResultCode
from hemlockhoist.decisions.limits import (
    QuotaBounds,
    QuotaTracker,
    RetryLimiter,
    UsageCoverage,
)
from hemlockhoist.host.home import AllowAllGate, GateRefusal

# A retry that was refused may be sent by the caller itself, when the failed upstream
# has had time to come back or to be avoided.
RETRY_REFUSED_MS = 300


class QuotaGate(AllowAllGate):
    """Holds customers to their allowances, and retries to their bound.

    Parameters
    ==========
    bounds : FleetBounds

    Attributes
    ==========
    on_takeover_begun : callable
        Called when this host begins to decide.
    """

    __slots__ = (
        "_bounds",
        "_history",
        "_retries",
        "_share",
        "quotas",
        "on_takeover_begun",
    )

    def __init__(self, bounds):
        self.on_takeover_begun = lambda: None
        self._history = None
        self._bounds = bounds
        self._retries = {}
        self._share = 1.0
        self.quotas = QuotaTracker(
            QuotaBounds(
                bounds.quota_window_ms,
                bounds.quota_overshoot_ratio,
                bounds.quota_tolerance_units,
            )
        )

    def refusal(self, pool, request, now_ms):
        """Return the ``GateRefusal`` of a request, or None."""
        window = self._window(pool)
        if request.attempt > 1:
            if window.acquire(now_ms):
                return None
            reason = f"retry {request.attempt} of {pool}"
            return GateRefusal(ResultCode.RETRIES_EXHAUSTED, RETRY_REFUSED_MS, reason)
        if request.is_new:
            window.count_request(now_ms)
        wait_ms = self.quotas.acquire(request.customer, request.units, now_ms)
        if not wait_ms:
            return None
        left = self.quotas.units_left(request.customer, now_ms)
        reason = f"{request.customer} asks for {request.units} units of {left} left"
        return GateRefusal(ResultCode.ALLOWANCE_SPENT, wait_ms, reason)

    def set_share(self, share):
        """Take the part of all bounds that this host gives out."""
        self.quotas.set_share(share)
        for window in self._retries.values():
            window.share = share
        self._share = share

    def on_takeover(self, hosts, now_ms):
        """Presume the bounds spent until the hosts have told what was."""
        window_ms = self._bounds.quota_window_ms
        if self._history is None or not self._history.is_same_takeover(now_ms):
            self._history = UsageCoverage(window_ms, now_ms)
        self._history.record_queried(hosts)
        self._note_past()
        self.on_takeover_begun()

    def on_usage_report(self, host, held, now_ms):
        """Count what was spent under a home before this one."""
        self.quotas.add_reported((held.incarnation, held.pool), held.usage, now_ms)
        if self._history is not None:
            self._history.record_report(host, held.up_ms)
            self._note_past()

    @property
    def has_unknown_usage(self):
        """Whether any host could not tell what was spent before a takeover.

        Failure: a sixth of the hosts lose their power, the home among them. What their
        requests had spent is told by nobody, and a customer at its bound gets as much
        more; the record of the home before knows it.
        """
        history = self._history
        return history is not None and history.unknown().fraction > 0

    @property
    def takeover(self):
        """What tells this takeover from others, or None before the first."""
        return self._history

    def _note_past(self):
        past = self._history.unknown()
        self.quotas.set_unknown_usage(past)
        for window in self._retries.values():
            window.unknown_usage = past

    def on_not_run(self, request, now_ms):
        """Give back what a refused request had taken of its customer's allowance."""
        if request.units:
            self.quotas.refund(request.customer, request.units, now_ms)

    def on_dequeued(self, request, since_ms, now_ms):
        """Count what a request takes of its customer's allowance from when it runs.

        Failure: requests wait for seconds in a burst. Counted from when they came, they
        left the window before the requests that ran with them did, and a customer ran
        more than its bound in one window.
        """
        if request.units:
            self.quotas.retime(request.customer, request.units, since_ms, now_ms)

    def _window(self, pool):
        window = self._retries.get(pool)
        if window is None:
            bounds = self._bounds
            window = RetryLimiter(
                bounds.retry_window_ms,
                bounds.retry_ratio,
                bounds.retry_base,
                self._share,
            )
            if self._history is not None:
                window.unknown_usage = self._history.unknown()
            self._retries[pool] = window
        return window
