"""The entry host that serves declared routes on a platform."""

from hemlockhoist.decisions.entry import DomainOrder, MoveOrder, OrderState
from hemlockhoist.decisions.scheduling import Experiments
from hemlockhoist.entry.platform import Platform
from hemlockhoist.entry.settings import EntrySettings, FleetBounds
from hemlockhoist.entry.wire import (
    AnswerHead,
    CallerCall,
    DirectoryQuestion,
    UpstreamOrder,
    WireFormat,
)

__all__ = [
    "AnswerHead",
    "CallerCall",
    "DirectoryQuestion",
    "DomainOrder",
    "EntrySettings",
    "Experiments",
    "FleetBounds",
    "MoveOrder",
    "OrderState",
    "Platform",
    "UpstreamOrder",
    "WireFormat",
]
