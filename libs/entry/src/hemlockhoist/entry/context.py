"""The shared components of an entry host."""

from hemlockhoist.base.metrics_table import CONNECTIONS_CUT
from hemlockhoist.decisions.entry import RouteTimes
from hemlockhoist.entry.drain import Drain
from hemlockhoist.entry.memory import HostMemory


class EntryContext:
    """The components of one entry host.

    Attributes
    ==========
    settings : EntrySettings
    platform : Platform
    quarantine : QuarantineService
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
        The pools of the route table, for homes and schedulers.
    route_times : RouteTimes
        How long this host's requests take.
    store_view : StoreView
        The routes and upstreams, and the age of their proof.
    gate : QuotaGate
    hedging : HedgePolicy
        The second attempts of this host's slow requests.
    homes : HomeService
    grants : GrantClient
    memory : HostMemory
        The memory that requests use on this host.
    moves : OrderedMoveService
    abandoned_checks : AbandonedChecks
        Looks at upstreams after runs that were given up.
    advertised_limits : AdvertisedLimits
        The limits that upstreams advertised in answers to this host.
    brittle_limits : AdvertisedLimits
        The rejections that brittle upstreams bear, as advertised to this host.
    back_offs : BackOffs
        The upstreams that asked this host not to send them requests for a while.
    upstreams : UpstreamClient
    register : DispatchRegister
    fingerprints : RequestFingerprints
    loop_lag : LoopLag
    callers : CallerServer
        None before it listens.
    drain : Drain
        The planned stop, also before it begins.
    leaving : bool
        Whether a graceful shutdown has begun.
    open_requests : int
    placement_queries : PlacementQueries
        Answers operators' queries at the home of a pool.
    relay_address : str
        Address at which this host relays for others; empty if it does not.
    """

    __slots__ = (
        "abandoned_checks",
        "advertised_limits",
        "back_offs",
        "boot_clock",
        "brittle_limits",
        "bus",
        "callers",
        "clock",
        "declarations",
        "drain",
        "feeds",
        "fingerprints",
        "fleet",
        "gate",
        "grants",
        "hedging",
        "homes",
        "identity",
        "invariants",
        "leaving",
        "loop_lag",
        "memory",
        "metrics",
        "moves",
        "open_requests",
        "placement_queries",
        "platform",
        "quarantine",
        "relay_address",
        "register",
        "route_times",
        "settings",
        "store_view",
        "traces",
        "upstreams",
    )

    def __init__(self, settings, platform, clock, boot_clock, invariants):
        self.settings = settings
        self.platform = platform
        self.clock = clock
        self.boot_clock = boot_clock
        self.invariants = invariants
        self.memory = HostMemory.from_settings(settings)
        self.callers = None
        self.drain = Drain(self)
        self.route_times = RouteTimes()
        self.leaving = False
        self.open_requests = 0
        self.relay_address = ""

    def count_cut(self, cause):
        """Count a connection that was refused or cut off, see ``HttpConnections``."""
        self.metrics.count(CONNECTIONS_CUT, cause)
