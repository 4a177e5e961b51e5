"""When a request gets a second attempt beside its first one, and whether it may."""

import enum

from hemlockhoist.decisions.entry.response_times import times_of

# Fraction of a route's responses that arrive before a second attempt is considered.
DELAY_QUANTILE = 0.95
# A second attempt is useless if it can't be expected to answer in the remaining time.
EXPECTED_QUANTILE = 0.5
# Weight of the recent responses from which on a route's quantile is used.
MIN_WEIGHT = 50.0
# Weight from which on a route's own times may lengthen the delay of its pool. A single
# slow response would otherwise end the hedges of a rare route.
MIN_OWN_WEIGHT = 10.0
# Bound on the saved budget: the requests of an hour must not pay for hedges of a burst.
MAX_SAVED_HEDGES = 10
# Time for which a pool is not asked again after its home refused a second attempt. Under
# saturation each host then sends a few requests a second in vain.
REFUSED_PAUSE_MS = 250
PERMILLE = 1_000


class HedgeRefusal(enum.Enum):
    """Why a slow request gets no second attempt, as logged and counted."""

    BUDGET = "budget"
    PAUSED = "paused"
    TOO_LATE = "too_late"
    HOME = "home"
    MEMORY = "memory"


class HedgePolicy:
    """Decides on the second attempts of one host's requests.

    It is made for loads in which a few responses take far longer than the rest, as
    their upstreams are slow for a short time. A second attempt is considered once a
    request has taken longer than most recent ones of its route. A host of a large fleet
    sees few requests of each route, so that it knows the times of the route's pool long
    before. They stand in, unless the few known of the route are longer. The extra work is
    bounded by a budget that requests pay into: over all hosts it is at most the
    configured share of the requests, as each host spends only what its own requests
    paid. If a whole pool turns slow, the quantile follows within some dozen responses,
    and the budget holds meanwhile.

    Parameters
    ==========
    permille : int
        Second attempts per thousand requests; 0 for none at all.
    excluded_routes : iterable of str, optional
        Names of routes without second attempts.

    Examples
    ========
    >>> from hemlockhoist.decisions.entry import HedgePolicy
    >>> policy = HedgePolicy(permille=20)
    >>> for _ in range(100):
    ...     policy.count_request()
    ...     policy.observe("check", "halls", 10, now_ms=0)
    >>> policy.delay_ms("check", "halls", now_ms=0)
    11.31
    >>> [policy.acquire("check", "halls", 1_000, now_ms=0) for _ in range(3)]
    [None, None, <HedgeRefusal.BUDGET: 'budget'>]
    """

    __slots__ = (
        "_excluded",
        "_paused_until_ms",
        "_permille",
        "_pool_times",
        "_route_times",
        "_saved",
    )

    def __init__(self, permille, excluded_routes=()):
        self._permille = permille
        self._excluded = frozenset(excluded_routes)
        self._route_times = {}
        self._pool_times = {}
        # Budget in thousandths of an attempt.
        self._saved = 0
        self._paused_until_ms = {}

    @property
    def is_enabled(self):
        """Whether any request may get a second attempt."""
        return self._permille > 0

    def allows(self, route):
        """Return whether requests of a route may get a second attempt at all.

        Parameters
        ==========
        route : hemlockhoist.declarations.Route
        """
        return (
            self.is_enabled
            and route.is_repeatable
            and route.max_attempts > 1
            and route.name not in self._excluded
        )

    def count_request(self):
        """Add the share of one request of this host to the budget."""
        limit = MAX_SAVED_HEDGES * PERMILLE
        self._saved = min(limit, self._saved + self._permille)

    def observe(self, route_name, pool, duration_ms, now_ms):
        """Record how long a first attempt took.

        The time of an attempt that was given up for the second one is its time so far.
        It exceeds the delay, so that the quantile does not fall below the times that
        first attempts really take.

        Parameters
        ==========
        route_name, pool : str
        duration_ms : int
            Until the first data of a stream, or until the end of a whole response.
        now_ms : int
        """
        times_of(self._route_times, route_name).observe(duration_ms, now_ms)
        times_of(self._pool_times, pool).observe(duration_ms, now_ms)

    def delay_ms(self, route_name, pool, now_ms):
        """Return the time after which a second attempt is considered, or None.

        None as long as too few recent responses are known.
        """
        times = self._times(route_name, pool, now_ms)
        if times is None:
            return None
        delay_ms = times.quantile_ms(DELAY_QUANTILE)
        own = self._route_times.get(route_name)
        if own is not None and own.weight >= MIN_OWN_WEIGHT:
            delay_ms = max(delay_ms, own.quantile_ms(DELAY_QUANTILE))
        return delay_ms

    def _times(self, route_name, pool, now_ms):
        """Return the times of the route, or of its pool if few are known; or None."""
        for times in (self._route_times.get(route_name), self._pool_times.get(pool)):
            if times is not None:
                times.decay(now_ms)
                if times.weight >= MIN_WEIGHT:
                    return times
        return None

    def acquire(self, route_name, pool, left_ms, now_ms):
        """Spend one attempt of the budget; return why that is not allowed, or None.

        Parameters
        ==========
        route_name, pool : str
        left_ms : int
            Time for which the caller still waits for the response.
        now_ms : int

        Returns
        =======
        HedgeRefusal or None
        """
        times = self._times(route_name, pool, now_ms)
        if times is None or left_ms < times.quantile_ms(EXPECTED_QUANTILE):
            return HedgeRefusal.TOO_LATE
        if now_ms < self._paused_until_ms.get(pool, now_ms):
            return HedgeRefusal.PAUSED
        if self._saved < PERMILLE:
            return HedgeRefusal.BUDGET
        self._saved -= PERMILLE
        return None

    def refund(self):
        """Return one attempt to the budget, as nothing was sent in it."""
        limit = MAX_SAVED_HEDGES * PERMILLE
        self._saved = min(limit, self._saved + PERMILLE)

    def on_refused(self, pool, now_ms):
        """Stop asking a pool's home for a while, as it has no capacity to spare."""
        self._paused_until_ms[pool] = now_ms + REFUSED_PAUSE_MS
