"""Rate limit of requests to cold upstreams while they warm up."""

import collections

import msgspec

from hemlockhoist.base import MS_PER_S

# Requests arrive at the upstream some time after their grants are issued here: those of
# a little more than a second may arrive within one second.
WINDOW_MS = MS_PER_S + 300
# Fraction of the limit that is used; the rest is for requests with longer delays still.
USED_FRACTION = 0.85
# A home that reaches more than this fraction of the fleet assigns each cold upstream at
# least one request per window, however low the limit.
MAJORITY_FRACTION = 0.5


class ColdStartLimit(msgspec.Struct, frozen=True, kw_only=True):
    """The declared limit for cold upstreams of a pool.

    Parameters
    ==========
    cold_ms : int
        How long an upstream is cold after its start.
    requests_per_s : float
        The most requests that a cold upstream may get in any second, from all hosts
        together; 0 for no limit.
    """

    cold_ms: int = 0
    requests_per_s: float = 0.0


UNLIMITED = ColdStartLimit()


class Warmup:
    """Tracks which upstreams are cold, and limits the requests that they get.

    Engines that return after a crash or an evacuation of their failure domain hold no
    requests, so they would be preferred to all others and get the whole pool's requests
    within a second, which makes cold engines crash. The home counts the requests from
    all hosts, and keeps a cold upstream below its limit in any second.

    Parameters
    ==========
    get_limit : callable
        Returns the currently declared ``ColdStartLimit``.

    Examples
    ========
    >>> from hemlockhoist.decisions.scheduling.warmup import ColdStartLimit, Warmup
    >>> warmup = Warmup(lambda: ColdStartLimit(cold_ms=3_000, requests_per_s=4.0))
    >>> warmup.assume_cold("u1", now_ms=0)
    >>> for at_ms in range(3):
    ...     warmup.record_grant("u1", at_ms)
    >>> warmup.allows("u1", 500), warmup.allows("u1", 1_400), warmup.allows("u2", 500)
    (False, True, True)
    """

    __slots__ = ("_cold_until_ms", "_get_limit", "_grants", "_share", "_takeover_ms")

    def __init__(self, get_limit=lambda: UNLIMITED):
        self._get_limit = get_limit
        self._cold_until_ms = {}
        self._grants = {}
        self._takeover_ms = None
        self._share = 1.0

    def set_share(self, share):
        """Set the share of the limit that this home may use."""
        self._share = share

    def assume_limit_used(self, now_ms):
        """Assume that all limits are used up, perhaps by another home just before."""
        self._takeover_ms = now_ms

    def set_listed(self, upstreams):
        """Record until when the listed upstreams are cold, and forget all others."""
        listed = {item.upstream_id: item.cold_until_ms for item in upstreams}
        self._grants = {
            key: times for key, times in self._grants.items() if key in listed
        }
        known = self._cold_until_ms
        self._cold_until_ms = {
            key: max(until_ms, known.get(key, 0))
            for key, until_ms in listed.items()
            if until_ms or key in known
        }

    def assume_cold(self, upstream_id, now_ms):
        """Treat an upstream that was unreachable as just started.

        Otherwise an upstream that crashes and restarts before the list shows it would
        get as many requests as a warm one.
        """
        until_ms = now_ms + self._get_limit().cold_ms
        known_ms = self._cold_until_ms.get(upstream_id, 0)
        self._cold_until_ms[upstream_id] = max(until_ms, known_ms)

    def is_cold(self, upstream_id, now_ms):
        """Return whether an upstream is still warming up."""
        return self._cold_until_ms.get(upstream_id, 0) > now_ms

    def any_cold(self, now_ms):
        """Return whether any upstream is still warming up."""
        return any(until_ms > now_ms for until_ms in self._cold_until_ms.values())

    def allows(self, upstream_id, now_ms):
        """Return whether an upstream may be assigned another request now."""
        if not self.is_cold(upstream_id, now_ms):
            return True
        limit = self._get_limit().requests_per_s
        if not limit:
            return True
        if self._takeover_ms is not None and now_ms - self._takeover_ms < WINDOW_MS:
            return False
        max_requests = int(USED_FRACTION * self._share * limit)
        if self._share > MAJORITY_FRACTION:
            max_requests = max(1, max_requests)
        return self._count(upstream_id, now_ms) < max_requests

    def record_grant(self, upstream_id, now_ms):
        """Count a request for an upstream, cold or warm.

        Warm upstreams are counted too: if one turns cold while it serves, the requests
        of the second before count against its limit.
        """
        if self._get_limit().requests_per_s:
            times = self._grants.setdefault(upstream_id, collections.deque())
            times.append(now_ms)
            _drop_expired(times, now_ms)

    def _count(self, upstream_id, now_ms):
        times = self._grants.get(upstream_id, ())
        if times:
            _drop_expired(times, now_ms)
        return len(times)


def _drop_expired(times, now_ms):
    while times and now_ms - times[0] >= WINDOW_MS:
        times.popleft()
