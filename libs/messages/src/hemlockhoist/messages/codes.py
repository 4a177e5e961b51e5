"""Numbers that identify the message types on the wire.

Numbers are used because a name would be a tenth of a short message, and three of four
peers are in another failure domain, to which each byte is charged. A number is never
reused for another type, because hosts of adjacent releases exchange messages.
"""

_CODES = {
    "ConfigurationAck": 1,
    "ConfigurationContent": 2,
    "ConfigurationDigest": 3,
    "ConfigurationRequest": 4,
    "ConfigurationSummary": 5,
    "ConfigurationSummaryRequest": 6,
    "HaltedVersions": 7,
    "LeftUpstream": 8,
    "EvacuatedDomain": 9,
    "ColdUpstream": 10,
    "FeedQuestion": 11,
    "FeedAnswer": 12,
    "GrantRequest": 13,
    "GrantReply": 14,
    "GrantRefusal": 15,
    "NotHome": 16,
    "GrantQueued": 17,
    "GrantCancel": 18,
    "GrantRelease": 19,
    "FirstToken": 20,
    "HomeTakeover": 21,
    "HeldGrants": 22,
    "HeldGrantIds": 23,
    "KeyLookup": 24,
    "LookupReply": 25,
    "LookupDone": 26,
    "LookupInProgress": 27,
    "LookupUnknown": 28,
    "LookupExpired": 29,
    "LookupReused": 30,
    "LookupFull": 31,
    "LookupGranted": 32,
    "LookupMoved": 33,
    "Handover": 34,
    "HandoverAck": 35,
    "MemberUpdate": 36,
    "Probe": 37,
    "ProbeAck": 38,
    "ProbeRequest": 39,
    "MembersRequest": 40,
    "MembersPage": 41,
    "MoveAnnounced": 42,
    "VersionHalted": 43,
    "StreamTaken": 44,
    "HomeClosed": 45,
    "RelayOffer": 46,
    "RelayReady": 47,
    "RelaySend": 48,
    "RelayRefusal": 49,
    "RelayedHead": 50,
    "RelayFailure": 51,
    "UpstreamReached": 52,
    "PartRecords": 53,
    "PlacementQuery": 54,
    "PlacementReply": 55,
    "UpstreamLost": 56,
}


def code_of(name):
    """Return the wire number of the message type with this class name."""
    return _CODES[name]
