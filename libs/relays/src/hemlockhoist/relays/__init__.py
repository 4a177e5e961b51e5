"""Requests of hosts without links to upstreams, passed on by hosts that have them."""

from hemlockhoist.relays.client import RelayClient, RelayRefused
from hemlockhoist.relays.frames import RelayFrames
from hemlockhoist.relays.paths import UpstreamPaths
from hemlockhoist.relays.rules import RelayRules
from hemlockhoist.relays.server import RelayServer

__all__ = [
    "RelayClient",
    "RelayFrames",
    "RelayRefused",
    "RelayRules",
    "RelayServer",
    "UpstreamPaths",
]
