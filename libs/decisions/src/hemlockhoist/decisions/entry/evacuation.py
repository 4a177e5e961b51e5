"""The failure domains that operators have taken out of use."""

import msgspec


class DomainOrder(msgspec.Struct, frozen=True, kw_only=True):
    """An operator's order on one failure domain, or its end.

    Parameters
    ==========
    failure_domain : str
    is_evacuated : bool or None
        Whether its upstreams are to get nothing; None where the order can not be read,
        and what holds stays so.
    version : int
        Of the store; a newer one says more.
    """

    failure_domain: str
    is_evacuated: bool | None
    version: int


class EvacuatedDomains:
    """Which failure domains are evacuated, by the newest that is known of each.

    Harm prevented: a host reads a list that is some seconds old, and sends requests
    again to a domain that was evacuated meanwhile, or keeps one out of use that was
    taken back. So an order gives way only to a newer one.

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
        """Take an order; return whether it changes anything."""
        if order.is_evacuated is None:
            return False
        former = self._orders.get(order.failure_domain)
        if former is not None and former.version >= order.version:
            return False
        self._orders[order.failure_domain] = order
        was_evacuated = former is not None and former.is_evacuated
        return was_evacuated != order.is_evacuated

    def replace(self, orders, version):
        """Take all orders that stand at a version; return the domains that changed."""
        standing = {order.failure_domain for order in orders}
        ended = (
            DomainOrder(failure_domain=name, is_evacuated=False, version=version)
            for name in self.names()
            if name not in standing
        )
        return tuple(
            order.failure_domain for order in (*orders, *ended) if self.apply(order)
        )

    def version(self, failure_domain):
        """Return the version at which a domain was evacuated, or None."""
        order = self._orders.get(failure_domain)
        return order.version if order is not None and order.is_evacuated else None

    def names(self):
        """Return the evacuated domains, in order of their names."""
        found = (key for key, item in self._orders.items() if item.is_evacuated)
        return tuple(sorted(found))
