"""The typed messages between hosts and their codec."""

from hemlockhoist.messages.codec import (
    MAX_FRAME_BYTES,
    WIRE_VERSION,
    Codec,
    Envelope,
    Message,
)
from hemlockhoist.messages.grants import (
    GrantCancel,
    GrantQueued,
    GrantRefusal,
    GrantRelease,
    GrantReply,
    GrantRequest,
    HeldGrant,
    HeldGrantIds,
    HeldGrants,
    HomeTakeover,
    NotHome,
    RequestBrief,
)
from hemlockhoist.messages.moves import MoveAnnounced, StreamTaken, VersionHalted
from hemlockhoist.messages.registry import MESSAGE_TYPES

__all__ = [
    "MAX_FRAME_BYTES",
    "MESSAGE_TYPES",
    "WIRE_VERSION",
    "Codec",
    "Envelope",
    "GrantCancel",
    "GrantQueued",
    "GrantRefusal",
    "GrantRelease",
    "GrantReply",
    "GrantRequest",
    "HeldGrant",
    "HeldGrantIds",
    "HeldGrants",
    "HomeTakeover",
    "Message",
    "MoveAnnounced",
    "NotHome",
    "RequestBrief",
    "StreamTaken",
    "VersionHalted",
]
