"""Refusals that come before any question of places: allowances and retries."""

from hemlockhoist.base import ResultCode, get_logger
from hemlockhoist.decisions.limits import (
    AllowanceBook,
    AllowanceBounds,
    RetryWindow,
)
from hemlockhoist.host.home import OpenGate

_log = get_logger("entry.gate")

# A retry that was refused may be sent by the caller itself, when the failed upstream
# has had time to come back or to be avoided.
RETRY_REFUSED_MS = 300


class FleetGate(OpenGate):
    """Holds customers to their allowances, and retries to their bound.

    Parameters
    ==========
    bounds : FleetBounds
    """

    __slots__ = ("_bounds", "_retries", "_share", "allowances")

    def __init__(self, bounds):
        self._bounds = bounds
        self._retries = {}
        self._share = 1.0
        self.allowances = AllowanceBook(
            AllowanceBounds(
                bounds.allowance_window_ms,
                bounds.allowance_overshoot,
                bounds.allowance_tolerance,
            )
        )

    def refusal(self, pool, request, now_ms):
        """Return ``(code, retry_after_ms)`` to refuse a request, or None."""
        window = self._window(pool)
        if request.attempt > 1:
            if window.take(now_ms):
                return None
            _log.warning(
                "retry_refused",
                request=request.request_id,
                pool=pool,
                attempt=request.attempt,
            )
            return ResultCode.RETRIES_EXHAUSTED, RETRY_REFUSED_MS
        if request.is_new:
            window.count_request(now_ms)
        wait_ms = self.allowances.take(request.customer, request.units, now_ms)
        if not wait_ms:
            return None
        _log.warning(
            "allowance_spent",
            request=request.request_id,
            customer=request.customer,
            units=request.units,
            units_left=self.allowances.units_left(request.customer, now_ms),
            wait_ms=wait_ms,
        )
        return ResultCode.ALLOWANCE_SPENT, wait_ms

    def set_share(self, share):
        """Take the part of all bounds that this host gives out."""
        self.allowances.set_share(share)
        for window in self._retries.values():
            window.share = share
        self._share = share

    def on_spent(self, spent, now_ms):
        """Count what was spent under a home before this one."""
        self.allowances.add_spent(spent, now_ms)

    def on_not_run(self, request, now_ms):
        """Give back what a refused request had taken of its customer's allowance."""
        if request.units:
            self.allowances.give_back(request.customer, request.units, now_ms)

    def _window(self, pool):
        window = self._retries.get(pool)
        if window is None:
            bounds = self._bounds
            window = RetryWindow(
                bounds.retry_window_ms,
                bounds.retry_ratio,
                bounds.retry_base,
                self._share,
            )
            self._retries[pool] = window
        return window
