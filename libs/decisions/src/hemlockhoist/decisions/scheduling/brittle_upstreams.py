"""Upstreams that fail if they have to turn too many requests away in a second."""

import collections
import math

from hemlockhoist.base import MS_PER_S
from hemlockhoist.decisions.scheduling.known_limits import KnownLimits
from hemlockhoist.messages import NO_LIMIT

# After a takeover, grants of the previous home may be unknown for about this long.
TAKEOVER_MS = 1_000
# An upstream may work on at an abandoned request for about as long as it would have
# taken, but callers of the slot must not wait for that without bound.
ABANDONED_HOLDS = 2.0
MAX_ABANDONED_MS = 3_000


class BrittleUpstreams:
    """Keeps brittle upstreams from turning away more requests than they bear.

    A brittle upstream advertises how many requests it can turn away in a second for
    want of room; one more, from all hosts together, and it ends. Its slots are what it
    surely has room for, since it may let no request wait. So it is sent as many requests
    as it has slots, without those that abandoned requests may still occupy. Where the
    home can't know what else the upstream has been sent (just after a takeover, beside
    other homes in a partition, or after the upstream has turned a request away), no more
    requests are in doubt at a time than the upstream could turn away.

    Examples
    ========
    >>> from hemlockhoist.decisions.scheduling.brittle_upstreams import BrittleUpstreams
    >>> brittle = BrittleUpstreams()
    >>> brittle.observe("u1", 2, heard_ms=0, now_ms=0)
    True
    >>> brittle.allows("u1", in_doubt=5, now_ms=0)
    True
    >>> brittle.record_rejection("u1", 10)
    >>> brittle.allows("u1", 0, 20), brittle.allows("u1", 1, 20)
    (True, False)
    >>> brittle.allows("u1", in_doubt=5, now_ms=1_010)
    True
    """

    __slots__ = ("_abandoned", "_known", "_rejected_ms", "_share", "_takeover_ms")

    def __init__(self):
        self._known = KnownLimits()
        # For each upstream, when it turned requests away in the last second.
        self._rejected_ms = {}
        # For each upstream, until when abandoned requests may occupy slots.
        self._abandoned = {}
        self._takeover_ms = None
        self._share = 1.0

    def observe(self, upstream_id, rejections_per_s, heard_ms, now_ms):
        """Record what an upstream advertised; return whether that changed.

        Parameters
        ==========
        upstream_id : str
        rejections_per_s : float
            ``NO_LIMIT`` if it is not brittle, or no longer.
        heard_ms : int
            When it was heard; what was heard before the known word is ignored.
        now_ms : int
        """
        if not self._known.record(upstream_id, rejections_per_s, heard_ms):
            return False
        if rejections_per_s == NO_LIMIT:
            self._rejected_ms.pop(upstream_id, None)
            self._abandoned.pop(upstream_id, None)
        return True

    def forget(self, upstream_ids):
        """Forget upstreams that are gone or have restarted."""
        for upstream_id in upstream_ids:
            self._known.forget(upstream_id)
            self._rejected_ms.pop(upstream_id, None)
            self._abandoned.pop(upstream_id, None)

    def set_share(self, share):
        """Set the share of all bounds that this home may use."""
        self._share = share

    def begin_takeover(self, now_ms):
        """Begin as a new home, which does not know all requests under way yet."""
        self._takeover_ms = now_ms

    @property
    def any_brittle(self):
        """Whether any upstream is, or recently was, brittle."""
        return bool(self._known)

    def is_brittle(self, upstream_id):
        """Return whether an upstream advertises that it is brittle."""
        return self._known.per_s(upstream_id) != NO_LIMIT

    def record_rejection(self, upstream_id, now_ms):
        """Record that an upstream turned a request away for want of room."""
        if self.is_brittle(upstream_id):
            times_ms = self._rejected_ms.setdefault(upstream_id, collections.deque())
            times_ms.append(now_ms)

    def record_abandoned(self, upstream_id, hold_ms, now_ms):
        """Record that a request was given up that an upstream may still work on.

        Parameters
        ==========
        upstream_id : str
        hold_ms : float
            How long requests hold a slot there.
        now_ms : int
        """
        if self.is_brittle(upstream_id):
            until_ms = now_ms + min(MAX_ABANDONED_MS, ABANDONED_HOLDS * hold_ms)
            self._abandoned.setdefault(upstream_id, []).append(until_ms)

    def count_abandoned(self, upstream_id, now_ms):
        """Return how many slots abandoned requests may occupy."""
        found = self._abandoned.get(upstream_id)
        if not found:
            return 0
        found[:] = [until_ms for until_ms in found if until_ms > now_ms]
        return len(found)

    def allows(self, upstream_id, in_doubt, now_ms):
        """Return whether one more request surely does no harm.

        Parameters
        ==========
        upstream_id : str
        in_doubt : int
            Requests at the upstream of which nothing has been heard.
        now_ms : int
        """
        if not self.is_brittle(upstream_id):
            return True
        rejected = self._count_rejected(upstream_id, now_ms)
        if not rejected and not self._may_have_others(now_ms):
            return True
        tolerated = math.floor(self._known.per_s(upstream_id) * self._share)
        return rejected + in_doubt < max(1, tolerated)

    def _may_have_others(self, now_ms):
        """Return whether upstreams may hold requests that this home does not know."""
        if self._share < 1.0:
            return True
        return self._takeover_ms is not None and (
            now_ms - self._takeover_ms < TAKEOVER_MS
        )

    def _count_rejected(self, upstream_id, now_ms):
        times_ms = self._rejected_ms.get(upstream_id)
        if not times_ms:
            return 0
        while times_ms and now_ms - times_ms[0] >= MS_PER_S:
            times_ms.popleft()
        return len(times_ms)
