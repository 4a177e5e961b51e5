"""Message transport between hosts."""

from hemlockhoist.peers.bus import PeerBus
from hemlockhoist.peers.inbox import Inbox
from hemlockhoist.peers.link import PeerLink

__all__ = ["Inbox", "PeerBus", "PeerLink"]
