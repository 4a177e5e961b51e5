"""Recent refusal rates by tier."""

import math

# Time constant of the decay: longer than a typical burst, so that tiers are compared
# over the whole of it, and short enough that the next burst starts without history.
DECAY_MS = 10_000


class RefusalRates:
    """The fraction of each tier's recently decided requests that were refused.

    Examples
    ========
    >>> from hemlockhoist.decisions.scheduling.refusal_rates import RefusalRates
    >>> rates = RefusalRates()
    >>> for number in range(4):
    ...     rates.add(rank=1, was_refused=number == 0, now_ms=0)
    >>> rates.rate(rank=1, now_ms=0), rates.rate(rank=2, now_ms=0)
    (0.25, 0.0)
    """

    __slots__ = ("_at_ms", "_decided", "_refused")

    def __init__(self):
        self._decided = {}
        self._refused = {}
        self._at_ms = 0

    def add(self, rank, was_refused, now_ms):
        """Record a request that was assigned a slot or refused for lack of one."""
        self._decay(now_ms)
        self._decided[rank] = self._decided.get(rank, 0.0) + 1.0
        self._refused[rank] = self._refused.get(rank, 0.0) + was_refused

    def rate(self, rank, now_ms):
        """Return the fraction of a tier's requests that were refused; 0 without any."""
        self._decay(now_ms)
        decided = self._decided.get(rank, 0.0)
        return self._refused[rank] / decided if decided else 0.0

    def _decay(self, now_ms):
        passed_ms = now_ms - self._at_ms
        if passed_ms <= 0:
            return
        kept = math.exp(-passed_ms / DECAY_MS)
        self._at_ms = now_ms
        for counts in (self._decided, self._refused):
            for rank in counts:
                counts[rank] *= kept
