"""The entry host that serves declared routes on a platform."""

from hemlockhoist.decisions.entry import MoveOrder, OrderState
from hemlockhoist.decisions.scheduling import Experiments
from hemlockhoist.entry.platform import Platform
from hemlockhoist.entry.settings import EntrySettings, FleetBounds
from hemlockhoist.entry.wire import AnswerHead, CallerCall, UpstreamOrder, WireFormat

__all__ = [
    "AnswerHead",
    "CallerCall",
    "EntrySettings",
    "Experiments",
    "FleetBounds",
    "MoveOrder",
    "OrderState",
    "Platform",
    "UpstreamOrder",
    "WireFormat",
]
