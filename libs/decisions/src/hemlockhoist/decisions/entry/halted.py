"""Versions that must get no requests because their move orders were halted."""

from hemlockhoist.decisions.versions import Standing


class HaltedOrders:
    """Tracks which versions were halted, and under which operators' orders.

    A halt applies to its own order only. It may be announced after the next order for
    the same version has been given, and that order must still be carried out.

    Examples
    ========

    >>> halted = HaltedOrders()
    >>> halted.record("halls", "v2", "halls@8")
    >>> halted.has("halls", "v2", "halls@8"), halted.has("halls", "v2", "halls@14")
    (True, False)
    """

    __slots__ = ("_orders",)

    def __init__(self):
        self._orders = {}

    def record(self, pool, version, order_id):
        """Record that a version was halted under an order."""
        self._orders.setdefault((pool, version), set()).add(order_id)

    def has(self, pool, version, order_id=None):
        """Return whether a version is halted.

        Parameters
        ==========
        pool, version : str
        order_id : str, optional
            The order in force for this version. If None, because no order is known here
            or the latest is for another version, a halt under any order counts.
        """
        orders = self._orders.get((pool, version), ())
        return bool(orders) if order_id is None else order_id in orders

    def keep_only(self, pool, version, order_id):
        """Drop the halts of a version under all orders but one."""
        orders = self._orders.get((pool, version))
        if orders is not None:
            orders &= {order_id}

    def settle(self, row):
        """Drop halts of versions that a row of their pool's moves trusts again.

        Parameters
        ==========
        row : Move
        """
        for item in row.standings:
            if item.standing is not Standing.HALTED:
                orders = self._orders.get((row.pool, item.version))
                if orders is not None:
                    orders.discard(item.move_id)
