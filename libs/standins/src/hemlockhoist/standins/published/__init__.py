"""Stand-ins for the platform's published protocol: a store, replicas and sites."""

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
