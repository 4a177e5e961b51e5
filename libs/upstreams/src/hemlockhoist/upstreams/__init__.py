"""Clients of model engines and plain services."""

from hemlockhoist.upstreams.client import (
    REQUEST_ID_HEADER,
    VERSION_HEADER,
    UpstreamAnswer,
    UpstreamCall,
    UpstreamClient,
    cancel_stream,
)
from hemlockhoist.upstreams.connections import (
    DirectConnector,
    ExactEndConnector,
    guard_socket,
)
from hemlockhoist.upstreams.events import (
    EventSplitter,
    OffsetChecker,
    StreamEvent,
    StreamGap,
    StreamGapAfter,
)
from hemlockhoist.upstreams.guard import DispatchRegister, SendGuard
from hemlockhoist.upstreams.names import AnswerName, AnswerNames

__all__ = [
    "ExactEndConnector",
    "REQUEST_ID_HEADER",
    "VERSION_HEADER",
    "AnswerName",
    "AnswerNames",
    "DispatchRegister",
    "EventSplitter",
    "OffsetChecker",
    "SendGuard",
    "StreamEvent",
    "StreamGap",
    "StreamGapAfter",
    "UpstreamAnswer",
    "UpstreamCall",
    "UpstreamClient",
    "cancel_stream",
    "guard_socket",
    "DirectConnector",
]
