"""Bound on the queries of operators that a host answers."""

# A query costs a copy of the pool's state: no more than a few a second.
MIN_INTERVAL_MS = 250
# After an answer the next one waits for this many times as long as it took, so that
# queries take at most a fiftieth of the host's processor time.
PAUSE_FACTOR = 50


class QueryLimiter:
    """Admits a few queries a second, and fewer if their answers take long.

    Load: an operator's script that asks in a loop, at a home with hundreds of upstreams.
    Callers' requests would wait behind the answers.

    Examples
    ========
    >>> from hemlockhoist.decisions.limits import QueryLimiter
    >>> limiter = QueryLimiter()
    >>> limiter.try_begin(now_ms=0)
    0
    >>> limiter.end(now_ms=20)
    >>> limiter.try_begin(now_ms=300)
    720
    >>> limiter.try_begin(now_ms=1_020)
    0
    """

    __slots__ = ("_begun_ms", "_next_ms")

    def __init__(self):
        self._begun_ms = 0
        self._next_ms = None

    def try_begin(self, now_ms):
        """Return 0 if a query may be answered now, or the time until the next may."""
        if self._next_ms is not None and now_ms < self._next_ms:
            return self._next_ms - now_ms
        self._begun_ms = now_ms
        self._next_ms = now_ms + MIN_INTERVAL_MS
        return 0

    def end(self, now_ms):
        """Record that the answer to the query that was admitted last is complete."""
        took_ms = now_ms - self._begun_ms
        self._next_ms = max(self._next_ms, now_ms + PAUSE_FACTOR * took_ms)
