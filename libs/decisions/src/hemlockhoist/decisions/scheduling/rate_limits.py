"""Limits on their request rate that upstreams advertise to all hosts together."""

import math
import zlib

from hemlockhoist.base import MS_PER_S
from hemlockhoist.decisions.scheduling.known_limits import KnownLimits
from hemlockhoist.messages import NO_LIMIT

# Requests may be assigned this long before they are due at a steady rate. It is longer
# than the time between two rounds of assignment, so that no part of a rate is lost.
BURST_MS = 250
# Whether a limit is still advertised shows in an answer only, so even an upstream that
# advertises a limit near 0 gets one request in this time.
MAX_GAP_MS = 10_000
# Number of moments over which the first requests to upstreams are spread.
PHASES = 16


class RateLimits:
    """Keeps the requests of all hosts within the limits that upstreams advertise.

    An upstream in need advertises how many requests a second it takes from all hosts
    together. Each host hears of it in answers to its own requests only, so a host that
    bounded its own requests would leave the upstream the sum over all hosts. The home
    grants the requests of all hosts, and assigns each such upstream requests at the
    advertised rate and no faster.

    A new home assumes that its predecessor has just used up all limits: no upstream is
    assigned a request at once. The first requests are spread over time, since upstreams
    that advertise equal limits would otherwise all take requests at the same moments.

    Examples
    ========
    >>> from hemlockhoist.decisions.scheduling.rate_limits import RateLimits
    >>> limits = RateLimits()
    >>> limits.observe("u1", 2.0, heard_ms=0, now_ms=0)
    True
    >>> limits.allows("u1", 0), limits.allows("u1", 500), limits.allows("u2", 0)
    (False, True, True)
    >>> limits.record_grant("u1", 500)
    >>> limits.wait_ms("u1", 600)
    150
    """

    __slots__ = ("_due_ms", "_known", "_share")

    def __init__(self):
        self._known = KnownLimits()
        # For each limited upstream, when a request that is assigned at the steady rate
        # is due: the generic cell rate algorithm (ITU-T I.371).
        self._due_ms = {}
        self._share = 1.0

    def observe(self, upstream_id, requests_per_s, heard_ms, now_ms):
        """Record what an upstream advertised; return whether its limit changed.

        Parameters
        ==========
        upstream_id : str
        requests_per_s : float
            ``NO_LIMIT`` if it no longer advertises a limit.
        heard_ms : int
            When it was heard; what was heard before the known limit is ignored.
        now_ms : int
        """
        if not self._known.record(upstream_id, requests_per_s, heard_ms):
            return False
        if requests_per_s == NO_LIMIT:
            self._due_ms.pop(upstream_id, None)
        elif upstream_id not in self._due_ms:
            self._begin(upstream_id, now_ms)
        return True

    def forget(self, upstream_ids):
        """Forget upstreams that are gone or have restarted."""
        for upstream_id in upstream_ids:
            self._known.forget(upstream_id)
            self._due_ms.pop(upstream_id, None)

    def set_share(self, share):
        """Set the share of all limits that this home may use."""
        self._share = share

    def assume_used(self, now_ms):
        """Assume that all limits are used up, perhaps by another home just before."""
        for upstream_id in self._due_ms:
            self._begin(upstream_id, now_ms)

    @property
    def any_limited(self):
        """Whether any upstream advertises a limit."""
        return bool(self._due_ms)

    def is_limited(self, upstream_id):
        """Return whether an upstream advertises a limit."""
        return upstream_id in self._due_ms

    def requests_per_s(self, upstream_id):
        """Return the rate at which an upstream is assigned requests at most."""
        if upstream_id not in self._due_ms:
            return NO_LIMIT
        return MS_PER_S / self._interval_ms(upstream_id)

    def allowed(self, upstreams, now_ms):
        """Return those of the given upstreams that may be assigned a request now.

        Hot path: called for each request, also at the home of some hundred upstreams.
        """
        due_ms, latest_ms = self._due_ms, now_ms + BURST_MS
        return [
            item
            for item in upstreams
            if due_ms.get(item.upstream_id, now_ms) <= latest_ms
        ]

    def allows(self, upstream_id, now_ms):
        """Return whether an upstream may be assigned another request now."""
        return self._due_ms.get(upstream_id, now_ms) <= now_ms + BURST_MS

    def wait_ms(self, upstream_id, now_ms):
        """Return after how long an upstream may be assigned a request."""
        due_ms = self._due_ms.get(upstream_id, now_ms)
        return max(0, math.ceil(due_ms - BURST_MS - now_ms))

    def record_grant(self, upstream_id, now_ms):
        """Count a request for an upstream."""
        due_ms = self._due_ms.get(upstream_id)
        if due_ms is not None:
            due_ms = max(due_ms, now_ms) + self._interval_ms(upstream_id)
            self._due_ms[upstream_id] = due_ms

    def record_unsent(self, upstream_id):
        """Stop counting a request that was not sent after all."""
        if upstream_id in self._due_ms:
            self._due_ms[upstream_id] -= self._interval_ms(upstream_id)

    def _begin(self, upstream_id, now_ms):
        """Let the first request start after a fraction of the interval, by the id."""
        phase = 1 + zlib.crc32(upstream_id.encode()) % PHASES
        wait_ms = self._interval_ms(upstream_id) * phase / PHASES
        self._due_ms[upstream_id] = now_ms + BURST_MS + wait_ms

    def _interval_ms(self, upstream_id):
        requests_per_s = self._known.per_s(upstream_id)
        interval_ms = MAX_GAP_MS
        if requests_per_s > 0:
            interval_ms = min(MAX_GAP_MS, MS_PER_S / requests_per_s)
        return interval_ms / self._share
