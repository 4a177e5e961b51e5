"""Which requests of a lower tier may pass waiting ones of higher tiers."""

from hemlockhoist.decisions.scheduling.refusal_rates import RefusalRates

# Of the time of all places, what short requests may take out of their turn: the most by
# which they delay the tiers above them.
SLOT_TIME_FRACTION = 0.05
# A request is short where it holds a place for no more than this part of the time of
# each request that it passes.
SHORT_FRACTION = 0.25
# Place time that is not used is kept for this long.
BUDGET_WINDOW_MS = 1_000


class OvertakingBudget:
    """Lets short requests of a lower tier pass longer ones of higher tiers.

    Made for a burst in which a higher tier holds all places for seconds, and a lower
    one asks for some hundredths of a second each. Harm without it: the lower tier is
    refused as a whole, for place time that the higher one would not notice.

    A higher tier is never shed before a lower one by it: a tier's requests pass only
    while at least as great a part of them was refused lately as of every tier above,
    and all that pass take a small part of the places' time together.
    """

    __slots__ = ("_at_ms", "_left_ms", "_shares")

    def __init__(self):
        self._shares = RefusalRates()
        self._left_ms = 0.0
        self._at_ms = 0

    def record_decision(self, rank, was_refused, now_ms):
        """Count a request that was given a place or refused for want of one."""
        self._shares.add(rank, was_refused, now_ms)

    def charge(self, hold_ms):
        """Count the place time of a request that passed."""
        self._left_ms -= hold_ms

    def allows(self, rank, hold_ms, passed, slots, now_ms):
        """Return whether a request may pass those of higher tiers that wait.

        Parameters
        ==========
        rank : int
        hold_ms : float or None
            For how long it is expected to hold a place; None where that is not known.
        passed : iterable of (int, float)
            Rank and expected holding time of what it would pass.
        slots : int
            Of all upstreams that take work.
        now_ms : int
        """
        if hold_ms is None:
            return False
        return hold_ms <= self.longest_ms(rank, passed, slots, now_ms)

    def longest_ms(self, rank, passed, slots, now_ms):
        """Return how long a request of a tier may hold a place and still pass.

        Parameters
        ==========
        rank : int
        passed : iterable of (int, float)
        places, now_ms : int
            As for ``allows``.

        Returns
        =======
        float
            Below 0 where none may pass.
        """
        self._accrue(slots, now_ms)
        own = self._shares.rate(rank, now_ms)
        longest_ms = self._left_ms
        for other, other_ms in passed:
            if own < self._shares.rate(other, now_ms):
                return -1.0
            longest_ms = min(longest_ms, SHORT_FRACTION * other_ms)
        return longest_ms

    def _accrue(self, slots, now_ms):
        passed_ms = max(0, now_ms - self._at_ms)
        self._at_ms = max(self._at_ms, now_ms)
        most_ms = SLOT_TIME_FRACTION * slots * BUDGET_WINDOW_MS
        gained_ms = SLOT_TIME_FRACTION * slots * passed_ms
        self._left_ms = min(most_ms, self._left_ms + gained_ms)
