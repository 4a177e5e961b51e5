"""What the parts of an entry host share."""


class EntryContext:
    """The parts of one entry host.

    Attributes
    ==========
    settings : EntrySettings
    platform : Platform
    identity : HostIdentity
    clock : Clock
    boot_clock : SuspendAwareClock
    invariants : InvariantLog
    metrics : Metrics
    traces : Traces
    bus : PeerBus
    feeds : FeedStore
    fleet : Fleet
    declarations : Declarations
        The pools of the route table, as homes see them.
    store_view : Knowledge
        The routes, the upstreams, and how fresh they are.
    gate : FleetGate
    homes : HomeService
    grants : GrantClient
    moves : OrderedMoves
    upstreams : UpstreamClient
    register : DispatchRegister
    leaving : bool
        Whether a graceful shutdown has begun.
    refuses_requests : bool
        Whether new requests are turned away, as it is about to end.
    open_requests : int
    """

    __slots__ = (
        "boot_clock",
        "bus",
        "clock",
        "declarations",
        "feeds",
        "fleet",
        "gate",
        "grants",
        "homes",
        "identity",
        "invariants",
        "store_view",
        "leaving",
        "metrics",
        "moves",
        "open_requests",
        "platform",
        "refuses_requests",
        "register",
        "settings",
        "traces",
        "upstreams",
    )

    def __init__(self, settings, platform, clock, boot_clock, invariants):
        self.settings = settings
        self.platform = platform
        self.clock = clock
        self.boot_clock = boot_clock
        self.invariants = invariants
        self.leaving = False
        self.refuses_requests = False
        self.open_requests = 0
