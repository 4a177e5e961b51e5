"""The list of all message types; a new message is added here.

Messages are encoded as arrays, without the names of their fields, which were more than
half of the bytes between hosts. A later release may add fields at the end, with
defaults, and may not reorder or remove any.
"""

from hemlockhoist.messages.configuration import (
    ConfigurationAck,
    ConfigurationContent,
    ConfigurationDigest,
    ConfigurationRequest,
    ConfigurationSummary,
    ConfigurationSummaryRequest,
    HaltedVersions,
)
from hemlockhoist.messages.feeds import (
    ColdUpstream,
    EvacuatedDomain,
    FeedAnswer,
    FeedQuestion,
    LeftUpstream,
)
from hemlockhoist.messages.grants import (
    FirstToken,
    GrantCancel,
    GrantQueued,
    GrantRefusal,
    GrantRelease,
    GrantReply,
    GrantRequest,
    HeldGrantIds,
    HeldGrants,
    HomeClosed,
    HomeTakeover,
    NotHome,
)
from hemlockhoist.messages.ledger import (
    Handover,
    HandoverAck,
    KeyLookup,
    LookupDone,
    LookupExpired,
    LookupFull,
    LookupGranted,
    LookupInProgress,
    LookupMoved,
    LookupReused,
    LookupUnknown,
)
from hemlockhoist.messages.membership import (
    MembersPage,
    MembersRequest,
    Probe,
    ProbeAck,
    ProbeRequest,
)
from hemlockhoist.messages.moves import MoveAnnounced, StreamTaken, VersionHalted

MESSAGE_TYPES = (
    ConfigurationAck,
    ConfigurationContent,
    ConfigurationDigest,
    ConfigurationRequest,
    ConfigurationSummary,
    ConfigurationSummaryRequest,
    ColdUpstream,
    EvacuatedDomain,
    FeedAnswer,
    FeedQuestion,
    FirstToken,
    GrantCancel,
    GrantQueued,
    GrantRefusal,
    GrantRelease,
    GrantReply,
    GrantRequest,
    HeldGrantIds,
    HaltedVersions,
    Handover,
    HandoverAck,
    HeldGrants,
    HomeClosed,
    HomeTakeover,
    KeyLookup,
    LeftUpstream,
    LookupDone,
    LookupExpired,
    LookupFull,
    LookupGranted,
    LookupInProgress,
    LookupMoved,
    LookupReused,
    LookupUnknown,
    MembersPage,
    MembersRequest,
    MoveAnnounced,
    NotHome,
    Probe,
    ProbeAck,
    ProbeRequest,
    StreamTaken,
    VersionHalted,
)
