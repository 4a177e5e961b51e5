"""Registry of all message types, to which every new message type is added.

Messages are encoded as arrays without field names, because the names made up more than
half of the bytes between hosts. A later release may append fields with defaults, but
must not reorder or remove fields.
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
    UpstreamLost,
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
from hemlockhoist.messages.placement import PlacementQuery, PlacementReply
from hemlockhoist.messages.quarantine import PartRecords
from hemlockhoist.messages.relays import (
    RelayedHead,
    RelayFailure,
    RelayOffer,
    RelayReady,
    RelayRefusal,
    RelaySend,
    UpstreamReached,
)

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
    PartRecords,
    PlacementQuery,
    PlacementReply,
    Probe,
    ProbeAck,
    ProbeRequest,
    RelayFailure,
    RelayOffer,
    RelayReady,
    RelayRefusal,
    RelaySend,
    RelayedHead,
    StreamTaken,
    UpstreamLost,
    UpstreamReached,
    VersionHalted,
)

# Types that hosts of the release before do not know. They reject a frame with such a
# message as a whole, so it is sent in a frame of its own, without the sender's news of
# the store.
UNBATCHED_TYPES = frozenset({PlacementQuery, PlacementReply, UpstreamLost})
