"""How long the requests of each route take on one host."""

from hemlockhoist.decisions.entry.response_times import times_of

# Share of a route's recent requests that took no longer than what is expected.
EXPECTED_QUANTILE = 0.99
# Weight of the recent requests from which on the times of a route, or of its pool, say
# what to expect.
MIN_WEIGHT = 20.0


class RouteTimes:
    """Times of this host's recent requests, by route and by pool.

    A request's time is that from its arrival to its final answer, whatever that was: one
    that failed late shows as much about the next one as one that was answered late. A
    pool's times stand in for those of its rare routes.

    Examples
    ========
    >>> from hemlockhoist.decisions.entry import RouteTimes
    >>> times = RouteTimes()
    >>> for _ in range(20):
    ...     times.observe("check", "halls", 10, now_ms=0)
    >>> times.expected_ms("check", "halls", now_ms=0)
    11.31
    """

    __slots__ = ("_by_pool", "_by_route")

    def __init__(self):
        self._by_route = {}
        self._by_pool = {}

    def observe(self, route_name, pool, duration_ms, now_ms):
        """Record how long a request took."""
        times_of(self._by_route, route_name).observe(duration_ms, now_ms)
        times_of(self._by_pool, pool).observe(duration_ms, now_ms)

    def expected_ms(self, route_name, pool, now_ms):
        """Return a time that few requests exceed, or None if too few are known."""
        for times in (self._by_route.get(route_name), self._by_pool.get(pool)):
            if times is not None:
                times.decay(now_ms)
                if times.weight >= MIN_WEIGHT:
                    return times.quantile_ms(EXPECTED_QUANTILE)
        return None
