"""State and services shared within a host process."""

from hemlockhoist.host.answer_limits import AnswerLimits
from hemlockhoist.host.handover import StreamHandover


class HostContext:
    """The services of one host process and the state that they share.

    Attributes
    ==========
    abandoned_checks : AbandonedChecks
        Looks at upstreams after runs that were given up.
    answer_limits : AnswerLimits
        Has requests that a planned stop finds open at its end answered.
    settings : Settings
    identity : HostIdentity
    clock : Clock
    invariants : InvariantLog
    grants : GrantClient
    dispatcher : Dispatcher
    upstreams : UpstreamClient
    tokens : StreamTokens
    declarations : Declarations
        Those in force, replaced as a whole by each change.
    callers : CallerDirectory
    fleet : Fleet
    ledger : LedgerService
    bus : PeerBus
    metrics : Metrics
    traces : Traces
    handover : StreamHandover
        Hands open streams over when a planned stop takes too long.
    stream_readers : StreamReaders
        Cancels streams whose callers disconnect and do not resume them.
    leaving : bool
        Whether a planned stop has begun.
    placement_queries : PlacementQueries
        Answers operators where requests would go.
    quarantine : QuarantineService
        Keeps requests back that crash upstreams.
    fingerprints : RequestFingerprints
        Identifies requests that are sent again.
    open_requests : int
        The number of callers' requests whose answer is not complete.
    relay_address : str
        Address at which this host relays for others; empty if it does not.
    """

    __slots__ = (
        "abandoned_checks",
        "answer_limits",
        "bus",
        "callers",
        "clock",
        "configuration",
        "declarations",
        "dispatcher",
        "fingerprints",
        "fleet",
        "grants",
        "handover",
        "homes",
        "identity",
        "invariants",
        "leaving",
        "ledger",
        "metrics",
        "moves",
        "open_requests",
        "placement_queries",
        "quarantine",
        "relay_address",
        "operators",
        "settings",
        "stream_readers",
        "tokens",
        "traces",
        "upstreams",
    )

    def __init__(self, settings, identity, clock, invariants):
        self.settings = settings
        self.identity = identity
        self.clock = clock
        self.invariants = invariants
        self.answer_limits = AnswerLimits()
        self.handover = StreamHandover()
        self.leaving = False
        self.open_requests = 0
        self.relay_address = ""
