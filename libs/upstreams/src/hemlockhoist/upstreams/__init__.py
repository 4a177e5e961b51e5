"""Clients of model engines and plain services."""

from hemlockhoist.upstreams.answer_head import InvalidAnswerHead, check_head
from hemlockhoist.upstreams.body_end import BodyEnd
from hemlockhoist.upstreams.bounds import BoundedHandler, part_limit_ms
from hemlockhoist.upstreams.client import UpstreamCall, UpstreamClient, cancel_stream
from hemlockhoist.upstreams.connections import (
    DirectConnector,
    ResetDetectingConnector,
    enable_tcp_keepalive,
)
from hemlockhoist.upstreams.end_to_end import end_to_end_headers
from hemlockhoist.upstreams.event_format import (
    MAX_EVENT_BYTES,
    BlockSplitter,
    EventFields,
    InvalidEvent,
    match_usual,
    read_event,
)
from hemlockhoist.upstreams.event_parser import EventParser
from hemlockhoist.upstreams.events import (
    EventSplitter,
    OffsetChecker,
    StreamEvent,
    StreamGap,
    StreamGapWithEvents,
)
from hemlockhoist.upstreams.guard import DispatchRegister, SendGuard
from hemlockhoist.upstreams.kept_connections import KeptConnections
from hemlockhoist.upstreams.response import (
    REQUEST_ID_HEADER,
    VERSION_HEADER,
    AnswerNotBegun,
    UpstreamResponse,
)
from hemlockhoist.upstreams.response_ids import ResponseIdChecker, ResponseIdTracker
from hemlockhoist.upstreams.second_answer import SecondAnswer

__all__ = [
    "AnswerNotBegun",
    "BlockSplitter",
    "BodyEnd",
    "BoundedHandler",
    "InvalidAnswerHead",
    "ResetDetectingConnector",
    "REQUEST_ID_HEADER",
    "VERSION_HEADER",
    "ResponseIdChecker",
    "ResponseIdTracker",
    "SecondAnswer",
    "DispatchRegister",
    "EventFields",
    "EventParser",
    "EventSplitter",
    "InvalidEvent",
    "MAX_EVENT_BYTES",
    "match_usual",
    "OffsetChecker",
    "SendGuard",
    "StreamEvent",
    "StreamGap",
    "StreamGapWithEvents",
    "UpstreamResponse",
    "UpstreamCall",
    "UpstreamClient",
    "cancel_stream",
    "check_head",
    "enable_tcp_keepalive",
    "end_to_end_headers",
    "part_limit_ms",
    "read_event",
    "DirectConnector",
    "KeptConnections",
]
