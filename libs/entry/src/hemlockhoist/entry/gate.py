"""Enforcement of customer quotas and of the retry limit, ahead of the scheduler."""

from hemlockhoist.base import ResultCode
from hemlockhoist.decisions.limits import (
    QuotaBounds,
    QuotaTracker,
    RetryLimiter,
    UsageCoverage,
)
from hemlockhoist.host.gates import AllowAllGate, GateRefusal

# Retry-After of a refused retry: the caller may retry itself once the failed upstream
# has had time to recover or to be avoided.
RETRY_AFTER_MS = 300
# Fraction of the limit on retries that hedges may use. The rest is for requests that
# have failed and have no attempt in progress.
HEDGE_RETRY_FRACTION = 0.5


class QuotaGate(AllowAllGate):
    """Enforces customer quotas and the limit on retries.

    Parameters
    ==========
    bounds : FleetBounds
    incarnation : str, optional
        This host's incarnation.

    Attributes
    ==========
    on_takeover_begun : callable
        Called when this host takes over as home.
    """

    __slots__ = (
        "_bounds",
        "_coverage",
        "_incarnation",
        "_is_home",
        "_retry_limiters",
        "_share",
        "on_takeover_begun",
        "quotas",
    )

    def __init__(self, bounds, incarnation=""):
        self._incarnation = incarnation
        self._is_home = True
        self.on_takeover_begun = lambda: None
        self._coverage = None
        self._bounds = bounds
        self._retry_limiters = {}
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
        limiter = self._retry_limiter(pool)
        if request.is_retry:
            fraction = HEDGE_RETRY_FRACTION if request.is_hedge else 1.0
            if limiter.acquire(now_ms, fraction):
                return None
            reason = f"arrival {request.arrival_number} at {pool}, {limiter.describe(now_ms)}"
            return GateRefusal(ResultCode.RETRIES_EXHAUSTED, RETRY_AFTER_MS, reason)
        if request.is_new:
            limiter.count_request(now_ms)
        wait_ms = self.quotas.acquire(request.customer, request.units, now_ms)
        if not wait_ms:
            return None
        left = self.quotas.units_left(request.customer, now_ms)
        reason = f"{request.customer} asks for {request.units} units of {left} left"
        return GateRefusal(ResultCode.ALLOWANCE_SPENT, wait_ms, reason)

    def retries_left(self, pool, now_ms):
        """Return how many more retries would be admitted now."""
        return self._retry_limiter(pool).left(now_ms)

    def set_share(self, share, is_home=True):
        """Set the share of all bounds that this host may use.

        Parameters
        ==========
        share : float
        is_home : bool, optional
            Whether it uses it for all hosts that it reaches, not for itself alone.
        """
        self.quotas.set_share(share)
        for limiter in self._retry_limiters.values():
            limiter.share = share
            limiter.is_home = is_home
        self._share = share
        self._is_home = is_home

    def on_takeover(self, hosts, now_ms):
        """Assume that the bounds are used up until the hosts have reported usage."""
        window_ms = self._bounds.quota_window_ms
        if self._coverage is None or not self._coverage.is_same_takeover(now_ms):
            self._coverage = UsageCoverage(window_ms, now_ms)
        self._coverage.record_queried(hosts)
        self._apply_unknown_usage()
        self.on_takeover_begun()

    def on_usage_report(self, host, held, now_ms):
        """Count usage granted by the previous home, as reported by a host."""
        self.quotas.add_reported((held.incarnation, held.pool), held.usage, now_ms)
        self.adopt_retry_records(held.pool, held.retry_records, now_ms)
        if self._coverage is not None:
            self._coverage.record_report(host, held.up_ms)
            self._apply_unknown_usage()

    @property
    def has_unknown_usage(self):
        """Whether any host could not report the usage before a takeover.

        Failure prevented: a sixth of the hosts lose power, the home among them. The
        usage of their requests is reported by no host, and a customer at its bound is
        granted as much again. The usage record of the previous home contains it.
        """
        coverage = self._coverage
        return coverage is not None and coverage.unknown().fraction > 0

    @property
    def takeover(self):
        """The identity of the current takeover, or None before the first one."""
        return self._coverage

    def _apply_unknown_usage(self):
        assumed_usage = self._coverage.unknown()
        self.quotas.set_unknown_usage(assumed_usage)
        for limiter in self._retry_limiters.values():
            limiter.unknown_usage = assumed_usage

    def on_not_run(self, pool, request, since_ms, now_ms):
        """Refund the quota units, or the retry, of a request that did not run."""
        if request.units:
            self.quotas.refund(request.customer, request.units, now_ms)
        if request.is_retry:
            self._retry_limiter(pool).refund(since_ms)

    def on_dequeued(self, pool, request, since_ms, now_ms):
        """Charge a request's quota units, or a retry, to the time at which it is sent.

        Failure prevented: requests wait for seconds in a burst. Charged at arrival,
        they left the window before the requests that ran alongside them, and a
        customer ran more than its bound in one window. Likewise the retries of a pool.
        """
        if request.units:
            self.quotas.retime(request.customer, request.units, since_ms, now_ms)
        if request.is_retry:
            self._retry_limiter(pool).retime(since_ms, now_ms)

    def retry_records(self, pool, now_ms):
        """Return what this host and other homes counted of a pool's retries."""
        return self._retry_limiter(pool).records(self._incarnation, now_ms)

    def adopt_retry_records(self, pool, records, now_ms):
        """Count what other homes counted of a pool's retries.

        Failure prevented: homes that follow one another, as hosts stop in turn, each
        grant the retries of a whole window.
        """
        if records:
            limiter = self._retry_limiter(pool)
            limiter.adopt(records, self._incarnation, now_ms)

    def _retry_limiter(self, pool):
        limiter = self._retry_limiters.get(pool)
        if limiter is None:
            bounds = self._bounds
            limiter = RetryLimiter(
                bounds.retry_window_ms,
                bounds.retry_ratio,
                bounds.retry_base,
                self._share,
            )
            limiter.is_home = self._is_home
            if self._coverage is not None:
                limiter.unknown_usage = self._coverage.unknown()
            self._retry_limiters[pool] = limiter
        return limiter
