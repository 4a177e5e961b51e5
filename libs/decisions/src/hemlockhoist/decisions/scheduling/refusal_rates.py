"""How often the requests of each tier were refused lately."""

import math

# Time constant of what counts as lately: longer than a usual burst, so that tiers are
# compared over the whole of it, and short enough that the next one begins anew.
DECAY_MS = 10_000


class RefusalRates:
    """The part of each tier's requests that were refused, of those decided lately.

    Examples
    ========
    >>> from hemlockhoist.decisions.scheduling.refusal_rates import RefusalRates
    >>> shares = RefusalRates()
    >>> for number in range(4):
    ...     shares.add(rank=1, was_refused=number == 0, now_ms=0)
    >>> shares.rate(rank=1, now_ms=0), shares.rate(rank=2, now_ms=0)
    (0.25, 0.0)
    """

    __slots__ = ("_at_ms", "_decided", "_refused")

    def __init__(self):
        self._decided = {}
        self._refused = {}
        self._at_ms = 0

    def add(self, rank, was_refused, now_ms):
        """Count a request that was given a place or refused for want of one."""
        self._fade(now_ms)
        self._decided[rank] = self._decided.get(rank, 0.0) + 1.0
        self._refused[rank] = self._refused.get(rank, 0.0) + was_refused

    def rate(self, rank, now_ms):
        """Return the part of a tier's requests that were refused; 0 without any."""
        self._fade(now_ms)
        decided = self._decided.get(rank, 0.0)
        return self._refused[rank] / decided if decided else 0.0

    def _fade(self, now_ms):
        passed_ms = now_ms - self._at_ms
        if passed_ms <= 0:
            return
        kept = math.exp(-passed_ms / DECAY_MS)
        self._at_ms = now_ms
        for counts in (self._decided, self._refused):
            for rank in counts:
                counts[rank] *= kept
