"""The entry host that serves declared routes on a platform."""

from hemlockhoist.decisions.entry import DomainOrder, MoveOrder, MoveOrderState
from hemlockhoist.decisions.scheduling import Experiments
from hemlockhoist.entry.environment import read_features
from hemlockhoist.entry.platform import Platform
from hemlockhoist.entry.settings import EntrySettings, FleetBounds, MemoryMb
from hemlockhoist.entry.wire import (
    CallerCall,
    DirectoryQuery,
    ResponseHead,
    UpstreamDirectives,
    WireFormat,
)
from hemlockhoist.messages import NO_LIMIT

__all__ = [
    "NO_LIMIT",
    "ResponseHead",
    "CallerCall",
    "DirectoryQuery",
    "DomainOrder",
    "EntrySettings",
    "Experiments",
    "FleetBounds",
    "MemoryMb",
    "MoveOrder",
    "MoveOrderState",
    "Platform",
    "UpstreamDirectives",
    "WireFormat",
    "read_features",
]
