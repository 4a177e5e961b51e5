"""Stand-ins for the platform's published protocol: a store, replicas and sites."""

from hemlockhoist.standins.published.behaviours import (
    ENDLESS_DATA,
    Behaviour,
    CrashMoment,
    ReceivedRequest,
)
from hemlockhoist.standins.published.replica import Replica
from hemlockhoist.standins.published.site import Site, SkippingClock, route
from hemlockhoist.standins.published.store import StoreFaults, StoreStandin

__all__ = [
    "ENDLESS_DATA",
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
