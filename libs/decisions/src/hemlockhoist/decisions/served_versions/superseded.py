"""Orders that a later one replaced before a row told of them."""

import collections

from hemlockhoist.decisions.versions import find_standing


class SupersededOrders:
    """The versions whose order has no row, by pool.

    Failure prevented: the store doesn't confirm the row of an order, another version is
    ordered, and the first one, of which no row tells, serves without a trial.
    """

    __slots__ = ("_orders",)

    def __init__(self):
        self._orders = collections.defaultdict(dict)

    def of_pool(self, pool):
        """Return the ids of the orders by version; the mapping follows later changes."""
        return self._orders[pool]

    def replace(self, previous, is_older):
        """Record that a later order replaces another one, perhaps for the same version.

        Parameters
        ==========
        previous : MoveOrder
        is_older : bool
            Whether the previous order's version was deployed before that order, so that
            it served without one.
        """
        if not is_older:
            orders = self._orders[previous.pool]
            orders[previous.to_version] = previous.order_id

    def settle(self, row):
        """Forget the orders of which a row tells."""
        orders = self._orders[row.pool]
        for version in list(orders):
            is_told = find_standing(row.standings, version) is not None
            if is_told or version == row.to_version:
                del orders[version]
