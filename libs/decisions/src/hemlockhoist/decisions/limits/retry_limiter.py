"""Limit on retries, as a ratio to the requests in a sliding window."""

import collections

from hemlockhoist.decisions.limits.coverage import UnknownUsage

# The window is divided into this many buckets; each expires as a whole.
BUCKET_COUNT = 20
# Fraction of the declared bound that is granted: other hosts may retry as well while
# their home is unreachable, and a caller's clock differs from this host's.
USED_FRACTION = 0.7
# Fraction of the declared bound that is assumed to be used in a window of unknown
# usage: the grants before and after a restart together stay within the bound.
ASSUMED_FRACTION = 0.4


class RetryLimiter:
    """Limits the attempts beyond the first of each request.

    Without a limit, when an upstream fails most of its requests or many are full in a
    burst, each request is sent as often as its route allows, and the remaining
    upstreams get several times their load. The ratio and the base are set by the
    operator and hold over all hosts.

    Parameters
    ==========
    window_ms : int
    ratio : float
        Retries per request in the window.
    base : float
        Retries allowed in addition to the ratio.
    share : float, optional
        Share of the base that this host grants.

    Examples
    ========
    >>> from hemlockhoist.decisions.limits import RetryLimiter
    >>> limiter = RetryLimiter(window_ms=10_000, ratio=0.0, base=2.0)
    >>> [limiter.acquire(now_ms=at) for at in (0, 10, 20, 12_000)]
    [True, False, False, True]
    """

    __slots__ = (
        "_base",
        "_bucket_ms",
        "_buckets",
        "_ratio",
        "_window_ms",
        "share",
        "unknown_usage",
    )

    def __init__(self, window_ms, ratio, base, share=1.0):
        self._window_ms = window_ms
        self._bucket_ms = max(1, window_ms // BUCKET_COUNT)
        self._ratio = ratio
        self._base = base
        self._buckets = collections.deque()
        self.share = share
        self.unknown_usage = UnknownUsage()

    def count_request(self, now_ms):
        """Count a first attempt sent by a caller."""
        self._current_bucket(now_ms)[1] += 1

    def acquire(self, now_ms, usable_fraction=1.0):
        """Return whether one more retry is allowed, and count it if so.

        Parameters
        ==========
        now_ms : int
        usable_fraction : float, optional
            Fraction of the bound that it may use; the rest is for others.
        """
        bucket = self._current_bucket(now_ms)
        requests, retries = self._counts(now_ms)
        if retries + 1 > usable_fraction * self._bound(requests, now_ms):
            return False
        bucket[2] += 1
        return True

    def left(self, now_ms):
        """Return how many more retries would be allowed now."""
        requests, retries = self._counts(now_ms)
        return max(0, int(self._bound(requests, now_ms) - retries))

    def describe(self, now_ms):
        """Return what the limit is made of, as a text for logs."""
        requests, retries = self._counts(now_ms)
        unknown = self.unknown_usage.fraction_at(self._window_ms, now_ms)
        return (
            f"{retries} retries and {requests} requests in the window, "
            f"bound {self._bound(requests, now_ms):.1f}, unknown {unknown:.2f}"
        )

    def _counts(self, now_ms):
        """Return the requests and the retries of the window."""
        self._current_bucket(now_ms)
        requests = sum(item[1] for item in self._buckets)
        retries = sum(item[2] for item in self._buckets)
        return requests, retries

    def _bound(self, requests, now_ms):
        unknown = self.unknown_usage.fraction_at(self._window_ms, now_ms)
        bound = USED_FRACTION * self._ratio * requests
        base_share = USED_FRACTION - ASSUMED_FRACTION * unknown
        return bound + base_share * (self.share * self._base)

    def refund(self, acquired_ms):
        """Stop counting a retry that was allowed at ``acquired_ms`` and not sent."""
        number = acquired_ms // self._bucket_ms
        for bucket in self._buckets:
            if bucket[0] == number and bucket[2]:
                bucket[2] -= 1

    def _current_bucket(self, now_ms):
        """Return the current bucket, after dropping those that left the window."""
        number = now_ms // self._bucket_ms
        if not self._buckets or self._buckets[-1][0] != number:
            self._buckets.append([number, 0, 0])
        oldest = (now_ms - self._window_ms) // self._bucket_ms
        while self._buckets[0][0] < oldest:
            self._buckets.popleft()
        return self._buckets[-1]
