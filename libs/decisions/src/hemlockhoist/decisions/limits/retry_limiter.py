"""Retries in a sliding window, as a share of the requests in it."""

import collections

from hemlockhoist.decisions.limits.coverage import UnknownUsage

# The window is kept in this many parts; a part leaves it as a whole.
PARTS = 20
# Of the declared bound, what is used: other hosts may retry beside this one while
# their home is out of reach, and a caller's own clock differs from this one.
USED_SHARE = 0.7
# Of the declared bound, what is taken for spent in a window of which nothing is known:
# with what was given out before, both sides of a restart stay within the whole.
PRESUMED_SHARE = 0.4


class RetryLimiter:
    """Bounds the sends beyond the first of each request.

    Load: an upstream that fails most of its answers, or a burst in which many are
    full. Harm without it: each request is sent as often as its route allows, and the
    upstreams that are left get several times their load. The ratio and the base are
    the operator's, over all hosts.

    Parameters
    ==========
    window_ms : int
    ratio : float
        Retries for each request in the window.
    base : float
        Retries beside the ratio.
    share : float, optional
        Of the base that is given out here.

    Examples
    ========
    >>> from hemlockhoist.decisions.limits import RetryLimiter
    >>> window = RetryLimiter(window_ms=10_000, ratio=0.0, base=2.0)
    >>> [window.acquire(now_ms=at) for at in (0, 10, 20, 12_000)]
    [True, False, False, True]
    """

    __slots__ = (
        "_base",
        "_part_ms",
        "_parts",
        "_ratio",
        "_window_ms",
        "share",
        "unknown_usage",
    )

    def __init__(self, window_ms, ratio, base, share=1.0):
        self._window_ms = window_ms
        self._part_ms = max(1, window_ms // PARTS)
        self._ratio = ratio
        self._base = base
        self._parts = collections.deque()
        self.share = share
        self.unknown_usage = UnknownUsage()

    def count_request(self, now_ms):
        """Count a request that a caller sent."""
        self._part(now_ms)[1] += 1

    def acquire(self, now_ms):
        """Return whether one more send is allowed, and count it if so."""
        part = self._part(now_ms)
        requests = sum(item[1] for item in self._parts)
        retries = sum(item[2] for item in self._parts)
        unknown = self.unknown_usage.fraction_at(self._window_ms, now_ms)
        bound = USED_SHARE * self._ratio * requests
        base_share = USED_SHARE - PRESUMED_SHARE * unknown
        bound += base_share * (self.share * self._base)
        if retries + 1 > bound:
            return False
        part[2] += 1
        return True

    def _part(self, now_ms):
        """Return the present part, after dropping those that left the window."""
        number = now_ms // self._part_ms
        if not self._parts or self._parts[-1][0] != number:
            self._parts.append([number, 0, 0])
        oldest = (now_ms - self._window_ms) // self._part_ms
        while self._parts[0][0] < oldest:
            self._parts.popleft()
        return self._parts[-1]
