"""The process of one entry host: starting, draining and closing its components."""

import asyncio
import contextlib
import os
import signal
import sys

import aiomisc

from hemlockhoist.base import (
    MS_PER_S,
    Clock,
    InvariantLog,
    LineWriter,
    LogRateLimiter,
    PeriodicTask,
    SuspendAwareClock,
    configure_logs,
    get_logger,
)
from hemlockhoist.base.metrics import Metrics
from hemlockhoist.base.metrics_table import (
    LOG_LINES_DROPPED,
    STORE_CALLS,
    STORE_FAILURES,
)
from hemlockhoist.base.traces import Traces
from hemlockhoist.decisions import UpstreamState
from hemlockhoist.decisions.entry import AdvertisedLimits, BackOffs, HedgePolicy
from hemlockhoist.decisions.limits import UsageLog, partition_share
from hemlockhoist.decisions.quarantine import RequestFingerprints
from hemlockhoist.decisions.scheduling import ColdStartLimit, Warmup
from hemlockhoist.declarations import Declarations, Pool, PoolKind, VersionRules
from hemlockhoist.entry.context import EntryContext
from hemlockhoist.entry.environment import read_operator_key
from hemlockhoist.entry.feeds import FeedStore
from hemlockhoist.entry.gate import QuotaGate
from hemlockhoist.entry.gauges import update_gauges
from hemlockhoist.entry.host_registry import HostRegistry
from hemlockhoist.entry.loop_lag import LoopLag
from hemlockhoist.entry.memory import return_freed_memory
from hemlockhoist.entry.moves import OrderedMoveService
from hemlockhoist.entry.relay_rules import EntryRelayRules
from hemlockhoist.entry.servers import CallerServer
from hemlockhoist.entry.status_server import StatusServer
from hemlockhoist.entry.store_view import StoreView
from hemlockhoist.entry.usage_recorder import UsageRecorder
from hemlockhoist.host.abandoned_checks import AbandonedChecks
from hemlockhoist.host.fleet import Fleet
from hemlockhoist.host.grants import GrantClient
from hemlockhoist.host.holder_report import HolderReport
from hemlockhoist.host.homes import HomeService
from hemlockhoist.host.identity import HostIdentity, new_incarnation
from hemlockhoist.host.message_router import MessageRouter
from hemlockhoist.host.placement_queries import PlacementQueries
from hemlockhoist.host.quarantine import QuarantineService
from hemlockhoist.host.quarantine_recorder import QuarantineRecorder
from hemlockhoist.peers import PeerBus
from hemlockhoist.relays import RelayFrames, RelayServer, UpstreamPaths
from hemlockhoist.store import SLOW_RETRY, TableWatch, TypedRows
from hemlockhoist.upstreams import DispatchRegister, KeptConnections, UpstreamClient

_log = get_logger("entry.process")

# Each reading of the routes proves that no key was revoked. The next one is due before
# the proof becomes too old to serve under, with time left for one retry.
ROUTES_WAIT_MS = 2_400
# Changed rows of upstreams are returned at once. A dead connection is ended by its
# probes, and an unresponsive store is detected by the reads of the routes.
UPSTREAMS_WAIT_MS = 20_000
HOME_TICK_INTERVAL_MS = 50
# Used while this host schedules no pool: in a fleet of 59 hosts, the wake-ups of idle
# hosts were a sixth of all processor time.
IDLE_TICK_INTERVAL_MS = 250
# The share of the bounds that a host may use follows the fleet. Whether another host
# is responsive is determined over ``RESPONSIVE_WINDOW_MS``, and counting the responsive
# hosts takes longer the more hosts there are.
SHARE_UPDATE_INTERVAL_MS = 250
HELD_REPORT_INTERVAL_MS = 10_000
GAUGE_INTERVAL_MS = 1_000
# A healthy upstream accepts a connection within a few milliseconds.
CONNECT_TIMEOUT_MS = 250
THREAD_POOL_SIZE = 2
DROPPED_REPORT_INTERVAL_MS = 1_000
PEER_KEY_VARIABLE = "HEMLOCKHOIST_PEER_KEY"
TEST_VARIABLE = "HEMLOCKHOIST_TEST"
# All pools of current fleets share one home, so that a customer's quota and the limit
# on retries are enforced exactly in one place.
SINGLE_HOME_KEY = "cell"
# Moves ordered on the platform have to finish within about ten seconds: a first share
# of a few percent would not yield the responses that prove a version. The requests of
# an unproven version over all routes are bounded as well, see ``OrderedMoveService``.
MOVE_RULES = VersionRules(first_share_permille=100, unproven_share_permille=300)
# A lost host may be partitioned and go on serving for this long. After that, its proof
# of the routes is far too old.
LOST_HOST_TIMEOUT_MS = 15_000
# Under a load high enough for quotas to apply, messages of a responsive host arrive
# several times within this window.
RESPONSIVE_WINDOW_MS = 1_000


class EntryProcess:
    """An entry host that runs on a platform.

    Parameters
    ==========
    settings : EntrySettings
    platform : Platform
    boot_clock : SuspendAwareClock
    listener : socket.socket, optional
        Already listens for callers.
    """

    def __init__(self, settings, platform, boot_clock, listener=None):
        self._listener = listener
        self.settings = settings
        self.finished = asyncio.Event()
        self.context = None
        self.status = None
        self.relay_server = None
        self._platform = platform
        self._boot_clock = boot_clock
        self._closers = contextlib.AsyncExitStack()
        self._started = asyncio.Event()
        self._drain_task = None
        self._host_registry = None
        self._watches = ()
        self._store_failed = False
        self._share_update_due_ms = 0
        # An invalid key ends the start before anything listens.
        self._operator_key = read_operator_key(os.environ)

    async def start(self):
        """Start all components; the host serves when this returns."""
        clock = Clock.from_running_loop()
        invariants = InvariantLog(fatal=TEST_VARIABLE in os.environ)
        context = EntryContext(
            self.settings, self._platform, clock, self._boot_clock, invariants
        )
        self.context = context
        message_router = MessageRouter()
        await self._open_bus(context, message_router)
        self.relay_server = await self._open_relay_server(context)
        context.metrics = await self._open(Metrics.from_config(None))
        context.traces = await self._open(
            Traces.from_config(None, 0, context.identity.host_id)
        )
        await self._open(self._platform.store)
        self._build(context)
        message_router.open(context)
        await self._open(context.upstreams)
        context.abandoned_checks = await self._open(
            AbandonedChecks(
                context.upstreams.check_link,
                context.grants.report_lost,
                context.store_view.was_leaving,
            )
        )
        await self._open(context.fleet)
        await self._open_watches(context)
        await self._open(
            QuarantineRecorder(
                context.quarantine,
                TypedRows(self._platform.store),
                self._platform.quarantine_table,
                context.clock,
                context.homes,
                context.fleet,
            )
        )
        await self._open(context.moves)
        await self._open(UsageRecorder(context))
        # Callers are accepted before the host says that it takes them.
        context.callers = await self._open(CallerServer(context, self._listener))
        self.status = await self._open(StatusServer(context, self._operator_key))
        await self._open(context.loop_lag)
        await self._open(PeriodicTask(self._tick_ms, self._tick))
        await self._open(
            PeriodicTask(HELD_REPORT_INTERVAL_MS, self._report_held_grants)
        )
        await self._open(
            PeriodicTask(GAUGE_INTERVAL_MS, lambda: update_gauges(context))
        )
        self._started.set()
        _log.info(
            "host_started", host=self.settings.name, address=context.identity.address
        )

    async def _open_bus(self, context, message_router):
        incarnation = new_incarnation()
        context.bus = PeerBus(
            incarnation,
            self.settings.peer_address,
            None,
            _peer_key(),
            context.clock,
            message_router.on_message,
            message_router.on_connection_lost,
            message_router.news,
            message_router.on_news,
            self.settings.max_descriptors,
        )
        await self._open(context.bus)
        context.identity = HostIdentity(
            name=self.settings.name,
            incarnation=incarnation,
            address=self.settings.caller_address,
            host_id=context.bus.address,
            failure_domain=self.settings.failure_domain,
        )

    async def _open_relay_server(self, context):
        """Listen for other hosts' requests; return the server, or None."""
        context.register = DispatchRegister(context.invariants)
        if not self.settings.relay_address:
            return None
        server = RelayServer(
            self.settings.relay_address,
            self._relay_frames(context),
            context,
            self._boot_clock,
            context.register,
            self.settings.max_descriptors,
        )
        await self._open(server)
        context.relay_address = server.address
        return server

    def _relay_frames(self, context):
        identity = context.identity
        return RelayFrames(
            _peer_key(), identity.host_id, identity.incarnation, context.clock
        )

    def _build(self, context):
        context.declarations = Declarations()
        context.fingerprints = RequestFingerprints(_peer_key())
        context.loop_lag = LoopLag(context.clock)
        context.advertised_limits = AdvertisedLimits()
        context.brittle_limits = AdvertisedLimits()
        context.back_offs = BackOffs()
        context.hedging = HedgePolicy(
            self.settings.hedge_permille, self.settings.hedge_excluded_routes
        )
        context.gate = QuotaGate(self.settings.bounds, context.identity.incarnation)
        context.quarantine = QuarantineService(
            context.clock,
            context.identity.incarnation,
            context.bus.send,
            self._other_hosts,
            context.metrics,
        )
        context.quarantine.on_changed = self._on_quarantine_changed
        context.moves = OrderedMoveService(
            context, TypedRows(self._platform.store), context.bus.send
        )
        context.store_view = StoreView(
            self._platform,
            self.settings.bounds,
            context.clock,
            self._boot_clock,
            context.invariants,
            self._on_routes,
            self._on_upstreams,
            context.moves.receive_order,
            behind_ms=lambda: context.feeds.behind_ms(),
        )
        context.homes = HomeService(
            context,
            context.bus.send,
            context.gate,
            home_key_of=lambda pool: SINGLE_HOME_KEY,
            new_tracker=self._new_tracker,
            experiments=self.settings.experiments,
            on_leaving=context.store_view.on_upstream_leaving,
            quarantine=context.quarantine,
            reserves_retries=self.settings.reserves_retries,
            max_suppressed_ms=self.settings.flap_damping_max_ms,
        )
        context.placement_queries = PlacementQueries(context, context.bus.send)
        context.grants = GrantClient(
            context.clock,
            context.bus.send,
            context.homes.home_of,
            self._on_unresponsive,
            context.bus.reconnect,
            lambda: context.identity.host_id,
            context.bus.silent_ms,
            HolderReport(
                context.clock.now_ms(),
                context.identity.incarnation,
                UsageLog(self.settings.bounds.quota_window_ms),
                context.advertised_limits,
                context.back_offs,
                context.brittle_limits,
                context.quarantine,
                context.gate,
            ),
        )
        context.feeds = FeedStore(
            context,
            self._platform.store,
            (self._platform.config_table, self._platform.upstream_table),
        )
        context.fleet = Fleet.from_context(context, self.settings.processor_millicores)
        self._build_paths(context)

    def _build_paths(self, context):
        """Create the ways to upstreams: this host's links, and those of others."""
        header = self._platform.wire.request_id_header
        count = self.settings.kept_connections
        kept = KeptConnections(count) if count else None
        client = UpstreamClient(header, CONNECT_TIMEOUT_MS, kept, context.metrics.count)
        frames = self._relay_frames(context)
        context.upstreams = UpstreamPaths.from_context(
            context, client, frames, header, self._relay_members
        )
        if self.relay_server is not None:
            rules = EntryRelayRules(context)
            self.relay_server.serve(client, context.upstreams.links, rules)

    def _relay_members(self, regions):
        """Return the other hosts that may relay a request, by its allowed regions."""
        own, members = self.context.fleet.stable_members()
        region_of = self.settings.regions_by_domain.get
        return [
            member
            for member in members
            if member.address != own.address
            and (not regions or region_of(member.failure_domain) in regions)
        ]

    async def _open_watches(self, context):
        platform, store_view = self._platform, context.store_view
        routes = TableWatch(
            context.feeds,
            platform.config_table,
            ROUTES_WAIT_MS,
            store_view.apply_config_rows,
            self._on_reading,
            self._on_store_failure,
        )
        upstreams = TableWatch(
            context.feeds,
            platform.upstream_table,
            UPSTREAMS_WAIT_MS,
            store_view.apply_upstream_rows,
            on_failure=context.moves.uptime.record_failure,
            retry_delay=SLOW_RETRY,
        )
        context.feeds.set_offer(platform.config_table, routes.offer)
        context.feeds.set_offer(platform.upstream_table, upstreams.offer)
        self._closers.push_async_callback(context.feeds.close)
        self._host_registry = HostRegistry(context)
        self._watches = (upstreams, self._host_registry)
        for component in (routes, upstreams, self._host_registry):
            await self._open(component)

    async def _open(self, component):
        await component.start()
        self._closers.push_async_callback(component.close)
        return component

    async def close(self):
        """Stop all components in the reverse order of their start."""
        await self._closers.aclose()

    def _on_reading(self, reading):
        if reading.clock_ms is None:
            self.context.metrics.count(STORE_CALLS, self._platform.config_table)
        self.context.store_view.record_reading(reading)
        now_ms = self.context.clock.now_ms()
        self.context.moves.uptime.record_reading(reading.store_ms, now_ms)
        if self._store_failed:
            self._store_failed = False
            for watch in self._watches:
                watch.read_again()

    def _on_store_failure(self):
        self.context.metrics.count(STORE_FAILURES, self._platform.config_table)
        self.context.moves.uptime.record_failure()
        self._store_failed = True

    def _on_routes(self, table):
        """Put newer routes in force."""
        context = self.context
        context.declarations = declarations_from_table(table)
        context.gate.quotas.declare(table.customers, context.clock.now_ms())
        context.homes.redeclare()
        context.grants.recheck_waiting()

    def _new_tracker(self, name):
        """Return the tracker of a pool's upstreams."""
        routes = self.context.store_view.routes
        pool = routes.pool(name) if routes is not None else None
        experiments = self.settings.experiments
        cache_tokens = 0
        if pool is not None and pool.engine is not None:
            cache_tokens = pool.engine.cache_tokens
        warmup = Warmup(lambda: self._cold_start_limit(name))
        return experiments.declared_slots_tracker(cache_tokens, warmup)

    def _cold_start_limit(self, name):
        """Return the declared limits of a pool's cold upstreams."""
        routes, bounds = self.context.store_view.routes, self.settings.bounds
        pool = routes.pool(name) if routes is not None else None
        if pool is None:
            return ColdStartLimit()
        requests_per_s = 0.0
        if pool.cold_requests_per_s:
            requests_per_s = pool.cold_requests_per_s * bounds.cold_overshoot
            requests_per_s += bounds.cold_tolerance
        return ColdStartLimit(cold_ms=pool.cold_ms, requests_per_s=requests_per_s)

    def _on_upstreams(self):
        context = self.context
        upstreams = context.store_view.usable()
        now_ms = context.clock.now_ms()
        context.advertised_limits.set_listed(upstreams, now_ms)
        context.brittle_limits.set_listed(upstreams, now_ms)
        context.back_offs.set_listed(upstreams, now_ms)
        context.upstreams.links.set_listed({item.upstream_id for item in upstreams})
        context.upstreams.set_usable(
            {
                item.upstream_id: item.address
                for item in upstreams
                if item.state is UpstreamState.LIVE
            }
        )
        context.moves.observe_upstreams(upstreams)
        context.homes.set_upstreams(upstreams)

    def _other_hosts(self):
        context = self.context
        own_id = context.identity.host_id
        return [host for host in context.fleet.live_hosts() if host != own_id]

    def _on_quarantine_changed(self, records):
        self.context.homes.review_queues()

    def _on_unresponsive(self, host_id):
        self.context.fleet.on_unresponsive(host_id)

    def _tick_ms(self):
        return (
            HOME_TICK_INTERVAL_MS
            if self.context.homes.is_scheduling
            else IDLE_TICK_INTERVAL_MS
        )

    def _tick(self):
        context = self.context
        if context.clock.now_ms() >= self._share_update_due_ms:
            self._share_update_due_ms = (
                context.clock.now_ms() + SHARE_UPDATE_INTERVAL_MS
            )
            self._update_share()
        due_ms = context.store_view.listing.next_change_ms()
        if due_ms is not None and due_ms <= context.clock.now_ms():
            self._on_upstreams()
        context.homes.tick()

    def _update_share(self):
        """Set this host's share of the bounds that hold over all hosts."""
        context = self.context
        is_home = context.homes.home_of("") == context.identity.host_id
        known_count = context.fleet.count_known(LOST_HOST_TIMEOUT_MS)
        responsive_count = (
            context.fleet.count_responsive(RESPONSIVE_WINDOW_MS) if is_home else 1
        )
        share = partition_share(responsive_count, known_count, is_home)
        context.gate.set_share(share, is_home)
        context.homes.set_share(share)

    def _report_held_grants(self):
        pools = [pool.name for pool in self.context.declarations.pools]
        self.context.grants.send_held_ids(pools)

    def begin_drain(self):
        """Begin a graceful shutdown; a second call changes nothing."""
        if self._drain_task is not None:
            _log.info("drain_already_begun")
            return
        self._drain_task = asyncio.create_task(self._drain())

    async def _drain(self):
        ordered_s = asyncio.get_running_loop().time()
        await self._started.wait()
        begin_ms = int(ordered_s * MS_PER_S)
        await self.context.drain.run(begin_ms, self._host_registry.leave())
        self.finished.set()


def _peer_key():
    return os.environ.get(PEER_KEY_VARIABLE, "").encode()


def declarations_from_table(table):
    """Return the declarations of a route table's pools for homes and schedulers."""
    pools = tuple(
        Pool(
            name=pool.name,
            kind=PoolKind.SERVICE if pool.engine is None else PoolKind.MODEL,
            stable_version="",
            version_rules=MOVE_RULES,
        )
        for pool in table.pools
    )
    return Declarations(version=table.version, pools=pools)


async def _main(settings, make_platform, listener, writer):
    limiter = LogRateLimiter(Clock.from_running_loop().now_ms)
    configure_logs("info", writer, limiter, {"host": settings.name}, cache_loggers=True)
    boot_clock = SuspendAwareClock.from_system()
    platform = make_platform(settings, boot_clock)
    host = EntryProcess(settings, platform, boot_clock, listener)
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, host.begin_drain)
    loop.add_signal_handler(signal.SIGHUP, lambda: _log.info("reload_requested"))
    try:
        await host.start()
        report = PeriodicTask(
            DROPPED_REPORT_INTERVAL_MS,
            lambda: _report_dropped_lines(limiter, writer, host.context.metrics),
        )
        await report.start()
        await host.finished.wait()
        await report.close()
    finally:
        await host.close()


def _report_dropped_lines(limiter, writer, metrics):
    """Report the number of dropped log lines, so that a gap is visible as such."""
    dropped_by_event, dropped = limiter.take_dropped_by_event(), writer.take_dropped()
    if dropped_by_event or dropped:
        metrics.count(LOG_LINES_DROPPED, value=sum(dropped_by_event.values()) + dropped)
        _log.warning("lines_left_out", **dropped_by_event, unread=dropped)


def run(settings, make_platform, listener=None):
    """Run an entry host until it has been drained.

    Parameters
    ==========
    settings : EntrySettings
    make_platform : callable
        ``make_platform(settings, boot_clock)`` returns the ``Platform``.
    listener : socket.socket, optional
        Already listens for callers.
    """
    if settings.max_memory_mb:
        return_freed_memory()
    writer = LineWriter(sys.stdout)
    writer.start()
    try:
        with aiomisc.entrypoint(pool_size=THREAD_POOL_SIZE, log_config=False) as loop:
            loop.run_until_complete(_main(settings, make_platform, listener, writer))
    finally:
        writer.close()
