"""How many requests a cold upstream is given while it warms up."""

import collections

import msgspec

from hemlockhoist.base import MS_PER_S

# Grants are given here and requests arrive at the upstream some time later: those of a
# little more than a second may arrive within one.
WINDOW_MS = MS_PER_S + 300
# Of the bound, what is given out. The rest is for grants whose way took longer still.
USED_FRACTION = 0.85
# A home that hears more than half of the fleet gives each cold upstream one request a
# window, however low the bound.
MAJORITY_FRACTION = 0.5


class ColdStartLimit(msgspec.Struct, frozen=True, kw_only=True):
    """What is declared of the cold upstreams of a pool.

    Parameters
    ==========
    cold_ms : int
        For how long an upstream is cold after its start.
    requests_per_s : float
        The most that a cold upstream may get in any second, from all hosts together;
        0 where that is not bounded.
    """

    cold_ms: int = 0
    requests_per_s: float = 0.0


UNLIMITED = ColdStartLimit()


class Warmup:
    """Which upstreams are cold, and whether one may be given another request.

    Load: engines come back after a crash or an evacuation of their failure domain. They
    hold nothing, so that they look the best of all, and get the whole pool's requests
    within a second; cold ones crash under that. The home counts what all hosts send,
    and gives a cold upstream less than it bears in any second.

    Parameters
    ==========
    get_limit : callable
        Returns the ``ColdStartLimit`` that is declared at present.

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

    __slots__ = ("_get_limit", "_cold_until_ms", "_grants", "_since_ms", "_share")

    def __init__(self, get_limit=lambda: UNLIMITED):
        self._get_limit = get_limit
        self._cold_until_ms = {}
        self._grants = {}
        self._since_ms = None
        self._share = 1.0

    def set_share(self, share):
        """Take the part of the bound that is given out here; others give the rest."""
        self._share = share

    def assume_limit_used(self, now_ms):
        """Take all bounds for spent: another home may have given them out just now."""
        self._since_ms = now_ms

    def set_listed(self, upstreams):
        """Take what the list says of upstreams, and forget those that vanished."""
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
        """Take an upstream that was out of reach and is back for one that has started.

        Failure: an upstream crashes and is back before the list shows it, and gets the
        requests of a warm one.
        """
        until_ms = now_ms + self._get_limit().cold_ms
        known_ms = self._cold_until_ms.get(upstream_id, 0)
        self._cold_until_ms[upstream_id] = max(until_ms, known_ms)

    def is_cold(self, upstream_id, now_ms):
        """Return whether an upstream warms up."""
        return self._cold_until_ms.get(upstream_id, 0) > now_ms

    def any_cold(self, now_ms):
        """Return whether any upstream warms up."""
        return any(until_ms > now_ms for until_ms in self._cold_until_ms.values())

    def allows(self, upstream_id, now_ms):
        """Return whether an upstream may be given another request now."""
        if not self.is_cold(upstream_id, now_ms):
            return True
        bound = self._get_limit().requests_per_s
        if not bound:
            return True
        if self._since_ms is not None and now_ms - self._since_ms < WINDOW_MS:
            return False
        most = int(USED_FRACTION * self._share * bound)
        if self._share > MAJORITY_FRACTION:
            most = max(1, most)
        return self._count(upstream_id, now_ms) < most

    def record_grant(self, upstream_id, now_ms):
        """Count a request that an upstream is given, also a warm one.

        Failure: an upstream turns cold while it serves, and what it was sent in the
        second before counts as well.
        """
        if self._get_limit().requests_per_s:
            times = self._grants.setdefault(upstream_id, collections.deque())
            times.append(now_ms)
            _forget(times, now_ms)

    def _count(self, upstream_id, now_ms):
        times = self._grants.get(upstream_id, ())
        if times:
            _forget(times, now_ms)
        return len(times)


def _forget(times, now_ms):
    while times and now_ms - times[0] >= WINDOW_MS:
        times.popleft()
