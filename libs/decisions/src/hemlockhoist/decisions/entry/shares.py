"""Weighted distribution of a route's requests among its pools."""


class PoolChooser:
    """Distributes the requests of a route among its pools in proportion to weight.

    The distribution is deterministic (smooth weighted round robin): on a route with
    little traffic, random selection may send several requests in a row to the pool with
    the smallest weight.

    Examples
    ========
    >>> from hemlockhoist.declarations import PoolShare
    >>> from hemlockhoist.decisions.entry import PoolChooser
    >>> shares = (PoolShare(pool="a", weight=3), PoolShare(pool="b", weight=1))
    >>> chooser = PoolChooser()
    >>> "".join(chooser.choose("route", shares) for _ in range(8))
    'aabaaaba'
    """

    __slots__ = ("_credits",)

    def __init__(self):
        self._credits = {}

    def choose(self, route_name, shares):
        """Return the pool name for the next request of a route.

        Parameters
        ==========
        route_name : str
        shares : sequence of PoolShare
        """
        if len(shares) == 1:
            return shares[0].pool
        credits_by_pool = self._credits.setdefault(route_name, {})
        total = sum(share.weight for share in shares)
        for share in shares:
            earned = credits_by_pool.get(share.pool, 0) + share.weight
            credits_by_pool[share.pool] = earned
        chosen = max(shares, key=lambda share: credits_by_pool[share.pool]).pool
        credits_by_pool[chosen] -= total
        return chosen

    def forget(self, route_names):
        """Drop the state of all routes except ``route_names``."""
        kept = set(route_names)
        self._credits = {k: v for k, v in self._credits.items() if k in kept}
