"""Limits that upstreams advertise in their answers, as numbers a second."""

import itertools

import msgspec

from hemlockhoist.decisions.incarnations import Incarnations
from hemlockhoist.messages import NO_LIMIT, HeardLimit

# A new home asks all hosts what they have heard. Where a thousand hosts hear of a
# thousand limits, the latest ones of each host are enough to cover all upstreams.
MAX_REPORTED = 200


class AdvertisedLimit(msgspec.Struct, frozen=True):
    """The limit that an upstream advertised in the latest answer to a host.

    Parameters
    ==========
    pool : str
    per_s : float
        Over all hosts together; ``NO_LIMIT`` if the latest answer advertised none.
    heard_ms : int
        When the host received the answer, on its clock.
    """

    pool: str
    per_s: float
    heard_ms: int


class AdvertisedLimits:
    """Tracks the limits that upstreams advertised in their answers to one host.

    An upstream in need advertises in each answer how many requests a second it takes
    from all hosts together, or how many it bears to turn away. Each of these has an
    instance of this class. Upstreams that never advertised a limit use no memory.

    Examples
    ========
    >>> from hemlockhoist.decisions.entry import AdvertisedLimits
    >>> from hemlockhoist.messages import NO_LIMIT
    >>> limits = AdvertisedLimits()
    >>> limits.record("halls", "u1", 1.5, now_ms=0)
    True
    >>> limits.record("halls", "u1", 1.5, now_ms=10)
    False
    >>> limits.record("halls", "u2", NO_LIMIT, now_ms=10)
    False
    >>> limits.count_by_pool()
    {'halls': 1}
    """

    __slots__ = ("_incarnations", "_limits")

    def __init__(self):
        self._limits = {}
        self._incarnations = Incarnations()

    def record(self, pool, upstream_id, per_s, now_ms):
        """Record what an answer advertises; return whether the limit changed.

        Parameters
        ==========
        pool, upstream_id : str
        per_s : float or None
            None if the answer advertises a limit that cannot be read, which leaves the
            known one in force.
        now_ms : int
        """
        if per_s is None:
            return False
        # Removed first, so that the limits stay in the order in which they were heard.
        known = self._limits.pop(upstream_id, None)
        if known is None and per_s == NO_LIMIT:
            return False
        self._limits[upstream_id] = AdvertisedLimit(pool, per_s, now_ms)
        return known is None or known.per_s != per_s

    def set_listed(self, upstreams, now_ms):
        """Forget the limits of upstreams that are gone or have restarted."""
        for upstream_id in self._incarnations.replace(upstreams, now_ms):
            self._limits.pop(upstream_id, None)

    def report(self, pool, now_ms):
        """Return what the upstreams of a pool advertised to this host most recently.

        Returns
        =======
        tuple of HeardLimit
        """
        found = (
            HeardLimit(
                upstream_id=upstream_id,
                per_s=limit.per_s,
                age_ms=now_ms - limit.heard_ms,
            )
            for upstream_id, limit in reversed(self._limits.items())
            if limit.pool == pool
        )
        return tuple(itertools.islice(found, MAX_REPORTED))

    def count_by_pool(self):
        """Return the number of upstreams with a limit, by pool."""
        counts = {}
        for limit in self._limits.values():
            limited = limit.per_s != NO_LIMIT
            counts[limit.pool] = counts.get(limit.pool, 0) + limited
        return counts
