"""Stand-ins that speak the users' published protocol: store, replicas, hosts."""

from hemlockhoist.standins.published.replica import Behaviour, ReceivedRequest, Replica
from hemlockhoist.standins.published.site import Site, SkippingClock, route
from hemlockhoist.standins.published.store import StoreFaults, StoreStandin

__all__ = [
    "Behaviour",
    "Replica",
    "ReceivedRequest",
    "Site",
    "SkippingClock",
    "StoreFaults",
    "StoreStandin",
    "route",
]
