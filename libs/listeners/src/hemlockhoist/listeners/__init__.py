"""Listening sockets that go on accepting connections whatever errors occur."""

from hemlockhoist.listeners.acceptor import Acceptor
from hemlockhoist.listeners.http import HttpListener
from hemlockhoist.listeners.listening import BACKLOG, descriptor_limit
from hemlockhoist.listeners.opaque_headers import OpaqueHeaders, StreamedResponse
from hemlockhoist.listeners.send_queue import queued_bytes
from hemlockhoist.listeners.unframed import UnframedResponse, set_reset_on_close

__all__ = [
    "BACKLOG",
    "Acceptor",
    "HttpListener",
    "OpaqueHeaders",
    "StreamedResponse",
    "UnframedResponse",
    "descriptor_limit",
    "queued_bytes",
    "set_reset_on_close",
]
