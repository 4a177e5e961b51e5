"""Failure domains that operators have evacuated."""

import msgspec


class DomainOrder(msgspec.Struct, frozen=True, kw_only=True):
    """An operator's order to evacuate a failure domain, or to end the evacuation.

    Parameters
    ==========
    failure_domain : str
    is_evacuated : bool or None
        Whether its upstreams get no requests; None if the order cannot be read, which
        leaves the current state unchanged.
    version : int
        Version of the row in the store; the newest one is in force.
    """

    failure_domain: str
    is_evacuated: bool | None
    version: int


class EvacuatedDomains:
    """Tracks the evacuated failure domains by the newest known order of each.

    An order is replaced only by a newer one. Otherwise a host that reads a list some
    seconds old would send requests again to a domain evacuated in the meantime, or keep
    a domain out of use whose evacuation has ended.

    Examples
    ========
    >>> from hemlockhoist.decisions.entry import DomainOrder, EvacuatedDomains
    >>> domains = EvacuatedDomains()
    >>> domains.apply(
    ...     DomainOrder(failure_domain="coast", is_evacuated=True, version=7)
    ... )
    True
    >>> domains.replace((), version=6)
    ()
    >>> domains.names()
    ('coast',)
    >>> domains.replace((), version=9)
    ('coast',)
    >>> domains.names()
    ()
    """

    __slots__ = ("_orders",)

    def __init__(self):
        self._orders = {}

    def apply(self, order):
        """Apply an order; return whether it changes the state of its domain."""
        if order.is_evacuated is None:
            return False
        previous = self._orders.get(order.failure_domain)
        if previous is not None and previous.version >= order.version:
            return False
        self._orders[order.failure_domain] = order
        was_evacuated = previous is not None and previous.is_evacuated
        return was_evacuated != order.is_evacuated

    def replace(self, orders, version):
        """Apply all orders in force at a version; return the domains that changed."""
        current = {order.failure_domain for order in orders}
        ended = (
            DomainOrder(failure_domain=name, is_evacuated=False, version=version)
            for name in self.names()
            if name not in current
        )
        return tuple(
            order.failure_domain for order in (*orders, *ended) if self.apply(order)
        )

    def version(self, failure_domain):
        """Return the version at which a domain was evacuated, or None."""
        order = self._orders.get(failure_domain)
        return order.version if order is not None and order.is_evacuated else None

    def names(self):
        """Return the names of the evacuated domains, sorted."""
        found = (key for key, item in self._orders.items() if item.is_evacuated)
        return tuple(sorted(found))
