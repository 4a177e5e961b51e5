"""Applies reported slowdowns to the upstreams of a pool."""

import math

from hemlockhoist.decisions.scheduling.slowdown import ReportedSlowdowns

# Reports decay by a few percent in this time. Renewing the factors at each request
# would cost a home of hundreds of upstreams as much as placing the request does.
REFRESH_INTERVAL_MS = 10


class PresentSpeeds:
    """Keeps the upstreams of a pool at the speed that their reports say.

    Upstreams that report the usual speed, or none, are never looked at.

    Parameters
    ==========
    slowdowns : ReportedSlowdowns, optional

    Attributes
    ==========
    pool_factor : float
        Processing time over all slots of the pool, as a multiple of the usual one.
    """

    __slots__ = (
        "_affected",
        "_refreshed_ms",
        "_slot_count",
        "_slowdowns",
        "pool_factor",
    )

    def __init__(self, slowdowns=None):
        self._slowdowns = slowdowns or ReportedSlowdowns()
        # Those whose pace is not the usual one now.
        self._affected = {}
        self._refreshed_ms = -math.inf
        # The upstreams whose slots were last counted, and the count.
        self._slot_count = ((), 0)
        self.pool_factor = 1.0

    @property
    def any_reported(self):
        """Whether any upstream has reported its slowdown."""
        return self._slowdowns.any_reported

    def has_reported(self, upstream_id):
        """Return whether an upstream has reported its slowdown."""
        return self._slowdowns.has_reported(upstream_id)

    def note_factors(self, held, now_ms):
        """Add the factors that its upstream may have now to a grant."""
        if not self._slowdowns.any_reported:
            return
        upstream_id = held.grant.upstream_id
        held.slowdowns += self._slowdowns.possible_factors(upstream_id, now_ms)

    @property
    def affected_count(self):
        """Number of upstreams whose pace is not the usual one now."""
        return len(self._affected)

    def observe(self, upstream_id, tracked, percent, measured_ms, now_ms):
        """Record a report; return whether it is the upstream's first one.

        Parameters
        ==========
        upstream_id : str
        tracked : DeclaredSlotsUpstream
        percent : int
            Processing time in percent of the usual one.
        measured_ms : int
            When it was true, on the home's clock.
        now_ms : int
        """
        is_first = not self._slowdowns.has_reported(upstream_id)
        if not self._slowdowns.observe(upstream_id, percent, measured_ms):
            return False
        self._apply(upstream_id, tracked, now_ms)
        return is_first

    def refresh_if_reported(self, usable, now_ms):
        """Let the reports, if there are any, decay to a time; parameters as below."""
        if self._slowdowns.any_reported:
            self.refresh(usable, now_ms)

    def refresh(self, usable, now_ms):
        """Let the reports decay to a time.

        Parameters
        ==========
        usable : dict of str to DeclaredSlotsUpstream
            The upstreams that may be assigned work.
        now_ms : int
        """
        if now_ms - self._refreshed_ms < REFRESH_INTERVAL_MS:
            return
        self._refreshed_ms = now_ms
        lost_slots = 0.0
        for upstream_id, tracked in list(self._affected.items()):
            self._apply(upstream_id, tracked, now_ms)
            if upstream_id in usable:
                lost_slots += tracked.limit.slots * (1.0 - 1.0 / tracked.slowdown)
        self.pool_factor = self._factor_without(lost_slots, usable)

    def _factor_without(self, lost_slots, usable):
        if not lost_slots:
            return 1.0
        if self._slot_count[0] is not usable:
            slots = sum(tracked.limit.slots for tracked in usable.values())
            self._slot_count = (usable, slots)
        slots = self._slot_count[1]
        return slots / (slots - lost_slots)

    def _apply(self, upstream_id, tracked, now_ms):
        factor = self._slowdowns.factor(upstream_id, now_ms)
        if factor != tracked.slowdown:
            tracked.set_slowdown(factor, now_ms)
        if factor != 1.0:
            self._affected[upstream_id] = tracked
        else:
            self._affected.pop(upstream_id, None)

    def forget(self, upstream_id):
        """Forget an upstream that is gone or has restarted."""
        self._slowdowns.forget(upstream_id)
        self._affected.pop(upstream_id, None)
        if not self._affected:
            self.pool_factor = 1.0
