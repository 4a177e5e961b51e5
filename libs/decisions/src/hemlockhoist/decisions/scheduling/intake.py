"""How fast upstreams may be assigned requests, apart from their free slots."""

from hemlockhoist.base import MS_PER_S
from hemlockhoist.decisions.incarnations import Incarnations
from hemlockhoist.decisions.scheduling.brittle_upstreams import BrittleUpstreams
from hemlockhoist.decisions.scheduling.rate_limits import RateLimits
from hemlockhoist.decisions.scheduling.warmup import Warmup


class UpstreamIntake:
    """Combines the bounds on the rate of requests to each upstream.

    Parameters
    ==========
    warmup : Warmup, optional
        Limits the requests that cold upstreams get.

    Attributes
    ==========
    warmup : Warmup
    limits : RateLimits
        The limits that upstreams advertise.
    brittle : BrittleUpstreams
        The upstreams that fail if they turn too many requests away.
    """

    __slots__ = ("_incarnations", "brittle", "limits", "warmup")

    def __init__(self, warmup=None):
        self.warmup = warmup or Warmup()
        self.limits = RateLimits()
        self.brittle = BrittleUpstreams()
        self._incarnations = Incarnations()

    def set_listed(self, upstreams, now_ms):
        """Forget upstreams that are not listed, and limits of restarted ones."""
        self.warmup.set_listed(upstreams)
        ended = self._incarnations.replace(upstreams, now_ms)
        self.limits.forget(ended)
        self.brittle.forget(ended)

    def begin_takeover(self, now_ms):
        """Assume that another home has just used up all bounds."""
        self.warmup.assume_limit_used(now_ms)
        self.limits.assume_used(now_ms)
        self.brittle.begin_takeover(now_ms)

    def set_share(self, share):
        """Set the share of the fleet-wide bounds that this home may use."""
        self.warmup.set_share(share)
        self.limits.set_share(share)
        self.brittle.set_share(share)

    def allows(self, upstream_id, now_ms):
        """Return whether an upstream may be assigned another request now."""
        return self.warmup.allows(upstream_id, now_ms) and self.limits.allows(
            upstream_id, now_ms
        )

    def allowed(self, upstreams, now_ms):
        """Return those of the given upstreams that may be assigned a request now.

        Hot path: called for each request, mostly while no upstream is bounded.
        """
        if self.limits.any_limited:
            upstreams = self.limits.allowed(upstreams, now_ms)
        if not self.warmup.any_cold(now_ms):
            return upstreams
        allows = self.warmup.allows
        return [item for item in upstreams if allows(item.upstream_id, now_ms)]

    def record_grant(self, upstream_id, now_ms):
        """Count a request for an upstream."""
        self.warmup.record_grant(upstream_id, now_ms)
        self.limits.record_grant(upstream_id, now_ms)

    def starts_per_ms(self, upstream_id, slots, hold_ms):
        """Return how many requests an upstream can start in a millisecond.

        Parameters
        ==========
        upstream_id : str
        slots : int
        hold_ms : float
            How long a request holds a slot.
        """
        by_slots = slots / max(1.0, hold_ms)
        return min(by_slots, self.limits.requests_per_s(upstream_id) / MS_PER_S)
