"""The versions that a host must not send to, by the orders that were halted."""


class HaltedVersions:
    """Which versions were halted, and under which operators' orders.

    A halt holds for its own order only. News of it may come after the next order for
    the same version, which is to be tried again.

    Examples
    ========

    >>> halted = HaltedVersions()
    >>> halted.record("halls", "v2", "halls@8")
    >>> halted.has("halls", "v2", "halls@8"), halted.has("halls", "v2", "halls@14")
    (True, False)
    """

    __slots__ = ("_orders",)

    def __init__(self):
        self._orders = {}

    def record(self, pool, version, order_id):
        """Note that a version was halted under an order."""
        self._orders.setdefault((pool, version), set()).add(order_id)

    def has(self, pool, version, order_id=None):
        """Return whether a version is halted.

        Parameters
        ==========
        pool, version : str
        order_id : str, optional
            The order in force; None where none is known here, and then the halt of
            any order counts.
        """
        orders = self._orders.get((pool, version), ())
        return bool(orders) if order_id is None else order_id in orders

    def keep_only(self, pool, version, order_id):
        """Forget the halts of a version under all orders but one."""
        orders = self._orders.get((pool, version))
        if orders is not None:
            orders &= {order_id}
