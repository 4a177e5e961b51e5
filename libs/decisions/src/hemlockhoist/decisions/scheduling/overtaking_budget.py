"""The budget of slot time for requests that overtake those of higher tiers."""

from hemlockhoist.decisions.scheduling.refusal_rates import RefusalRates

# Fraction of the time of all slots that overtaking requests may use: the maximum by
# which they delay the tiers above them.
SLOT_TIME_FRACTION = 0.05
# A request is short if it holds a slot for at most this fraction of the time of each
# request that it overtakes.
SHORT_FRACTION = 0.25
# Unused slot time accumulates over at most this long.
BUDGET_WINDOW_MS = 1_000


class OvertakingBudget:
    """Lets short requests of a lower tier overtake longer ones of higher tiers.

    In a burst, a higher tier can hold all slots for seconds while requests of a lower
    one need some hundredths of a second each. Without overtaking, the whole lower tier
    is refused for an amount of slot time that is negligible for the higher tier.

    A higher tier is never shed before a lower one because of it: a tier's requests
    overtake only while its recent refusal rate is at least that of every tier above,
    and together they use a small fraction of the slot time.
    """

    __slots__ = ("_at_ms", "_budget_ms", "_refusal_rates")

    def __init__(self):
        self._refusal_rates = RefusalRates()
        self._budget_ms = 0.0
        self._at_ms = 0

    def record_decision(self, rank, was_refused, now_ms):
        """Record a request that was assigned a slot or refused for lack of one."""
        self._refusal_rates.add(rank, was_refused, now_ms)

    def charge(self, hold_ms):
        """Charge the slot time of a request that has overtaken others."""
        self._budget_ms -= hold_ms

    def allows(self, rank, hold_ms, overtaken, slots, now_ms):
        """Return whether a request may overtake waiting requests of higher tiers.

        Parameters
        ==========
        rank : int
        hold_ms : float or None
            For how long it is expected to hold a slot; None where that is unknown.
        overtaken : iterable of (int, float)
            Rank and expected holding time of the requests that it would overtake.
        slots : int
            Of all upstreams that accept work.
        now_ms : int
        """
        if hold_ms is None:
            return False
        return hold_ms <= self.max_hold_ms(rank, overtaken, slots, now_ms)

    def max_hold_ms(self, rank, overtaken, slots, now_ms):
        """Return for how long a request of a tier may hold a slot and still overtake.

        Parameters
        ==========
        rank : int
        overtaken : iterable of (int, float)
        slots, now_ms : int
            As for ``allows``.

        Returns
        =======
        float
            Below 0 if none may overtake.
        """
        self._accrue(slots, now_ms)
        own = self._refusal_rates.rate(rank, now_ms)
        max_hold_ms = self._budget_ms
        for other, other_ms in overtaken:
            if own < self._refusal_rates.rate(other, now_ms):
                return -1.0
            max_hold_ms = min(max_hold_ms, SHORT_FRACTION * other_ms)
        return max_hold_ms

    def _accrue(self, slots, now_ms):
        passed_ms = max(0, now_ms - self._at_ms)
        self._at_ms = max(self._at_ms, now_ms)
        max_budget_ms = SLOT_TIME_FRACTION * slots * BUDGET_WINDOW_MS
        gained_ms = SLOT_TIME_FRACTION * slots * passed_ms
        self._budget_ms = min(max_budget_ms, self._budget_ms + gained_ms)
