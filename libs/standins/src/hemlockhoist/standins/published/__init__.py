"""Stand-ins for the platform's published protocol: a store, replicas and sites."""

from hemlockhoist.standins.published.replica import (
    Behaviour,
    CrashMoment,
    ReceivedRequest,
    Replica,
)
from hemlockhoist.standins.published.site import Site, SkippingClock, route
from hemlockhoist.standins.published.store import StoreFaults, StoreStandin

__all__ = [
    "Behaviour",
    "CrashMoment",
    "Replica",
    "ReceivedRequest",
    "Site",
    "SkippingClock",
    "StoreFaults",
    "StoreStandin",
    "route",
]
