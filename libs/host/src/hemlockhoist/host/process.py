"""The host process: starts its components, joins the fleet, drains and closes."""

import asyncio
import contextlib
import functools
import os
import signal

import aiomisc

from hemlockhoist.base import (
    MS_PER_S,
    Clock,
    InvariantLog,
    PeriodicTask,
    SuspendAwareClock,
    configure_logs,
    get_logger,
)
from hemlockhoist.base.metrics import Metrics
from hemlockhoist.base.metrics_table import (
    DECLARATIONS_VERSION,
    GRANTS_IN_FLIGHT,
    HOSTS_LIVE,
    INVARIANT_VIOLATIONS,
    LEDGER_IN_PROGRESS,
    LINKS_LOST,
    QUEUE_LENGTH,
    REQUESTS_OPEN,
)
from hemlockhoist.base.traces import Traces
from hemlockhoist.decisions.quarantine import RequestFingerprints
from hemlockhoist.declarations import Declarations
from hemlockhoist.host.abandoned_checks import AbandonedChecks
from hemlockhoist.host.callers import CallerDirectory
from hemlockhoist.host.chat import ChatHandlers
from hemlockhoist.host.configuration import ConfigurationService
from hemlockhoist.host.context import HostContext
from hemlockhoist.host.dispatcher import Dispatcher
from hemlockhoist.host.fleet import Fleet
from hemlockhoist.host.grants import GrantClient
from hemlockhoist.host.holder_report import HolderReport
from hemlockhoist.host.homes import HomeService
from hemlockhoist.host.identity import HostIdentity, new_incarnation
from hemlockhoist.host.ledger_service import LedgerService
from hemlockhoist.host.message_router import MessageRouter
from hemlockhoist.host.moves import MoveService
from hemlockhoist.host.operator_declarations import OperatorDeclarations
from hemlockhoist.host.operators import OperatorHandlers
from hemlockhoist.host.placement_queries import PlacementQueries
from hemlockhoist.host.quarantine import QuarantineService
from hemlockhoist.host.quarantine_recorder import QuarantineRecorder
from hemlockhoist.host.server import HttpServer
from hemlockhoist.host.services import ServiceHandlers
from hemlockhoist.host.stream_readers import StreamReaders
from hemlockhoist.host.tokens import StreamTokens
from hemlockhoist.host.upstream_watch import (
    HostListWatch,
    LoadWatch,
    listed_hosts,
    listed_upstreams,
    mark_evacuated,
)
from hemlockhoist.peers import PeerBus
from hemlockhoist.relays import RelayFrames, RelayRules, RelayServer, UpstreamPaths
from hemlockhoist.store import (
    HostListClient,
    PlatformConfig,
    PlatformTransport,
    TableClient,
)
from hemlockhoist.upstreams import (
    REQUEST_ID_HEADER,
    BoundedHandler,
    DirectConnector,
    UpstreamClient,
)

_log = get_logger("host.process")

QUARANTINE_TABLE = "crashing_parts"
HOME_TICK_INTERVAL_MS = 50
HELD_REPORT_INTERVAL_MS = 10_000
GAUGE_INTERVAL_MS = 1_000
DRAIN_CHECK_INTERVAL_MS = 50
FLUSH_TIMEOUT_MS = 500
# Little work of this process runs in threads, and the default pool of the service
# framework is sized for much more memory than a host has.
THREAD_POOL_SIZE = 2
TEST_VARIABLE = "HEMLOCKHOIST_TEST"


class HostProcess:
    """A host: entry for callers, home of pools and API for operators.

    Parameters
    ==========
    settings : Settings
    traces : Traces, optional
        By default configured by the settings.
    """

    def __init__(self, settings, traces=None):
        self.settings = settings
        self._traces_override = traces
        self.context = None
        self.finished = asyncio.Event()
        self._drain_task = None
        self._exit_stack = contextlib.AsyncExitStack()
        self._server = None
        self._upstreams = ()

    async def start(self):
        """Start all components; the host serves requests when this returns."""
        clock = Clock.from_running_loop()
        invariants = InvariantLog(fatal=TEST_VARIABLE in os.environ)
        incarnation = new_incarnation()
        message_router = MessageRouter()
        bus = self._bus(clock, incarnation, message_router)
        await self._open(bus)
        context = HostContext(self.settings, None, clock, invariants)
        self.context = context
        context.bus = bus
        context.identity = self._identity(incarnation, bus.address, "")
        context.metrics = await self._open(
            Metrics.from_config(self.settings.statsd_address)
        )
        context.traces = await self._open(self._traces(bus.address))
        transport = await self._open(self._transport())
        tables = TableClient.from_config(transport)
        self._create_components(context, tables)
        await self._open_paths(context)
        await self._start_serving(context, tables)
        message_router.open(context)
        await self._open(context.fleet)
        members = HostListClient.from_config(transport)
        interval_ms = self.settings.host_list_poll_ms
        await self._open(HostListWatch(members, interval_ms, self._on_host_list))
        await self._open(
            QuarantineRecorder(
                context.quarantine,
                tables,
                QUARANTINE_TABLE,
                context.clock,
                context.homes,
                context.fleet,
            )
        )
        await self._open(context.configuration)
        await self._open(context.moves)
        watch = LoadWatch(context.upstreams, context.homes, self.settings.load_poll_ms)
        await self._open(watch)
        await self._open(PeriodicTask(HOME_TICK_INTERVAL_MS, context.homes.tick))
        await self._open(
            PeriodicTask(HELD_REPORT_INTERVAL_MS, self._report_held_grants)
        )
        await self._open(PeriodicTask(GAUGE_INTERVAL_MS, self._update_gauges))
        _log.info("host_started", address=context.identity.address)

    def _bus(self, clock, incarnation, message_router):
        advertise = self.settings.peer_advertise_address
        return PeerBus(
            incarnation,
            str(self.settings.peer_listen_address),
            str(advertise) if advertise else None,
            self.settings.peer_key.encode(),
            clock,
            message_router.on_message,
            message_router.on_connection_lost,
        )

    def _identity(self, incarnation, peer_address, address):
        return HostIdentity(
            name=self.settings.host_id or address,
            incarnation=incarnation,
            address=address,
            host_id=peer_address,
            failure_domain=self.settings.failure_domain,
        )

    def _traces(self, host_id):
        if self._traces_override is not None:
            return self._traces_override
        return Traces.from_config(
            self.settings.otlp_endpoint,
            self.settings.trace_sample_permille,
            host_id,
            self.settings.failure_domain,
        )

    def _transport(self):
        config = PlatformConfig(url=f"http://{self.settings.platform_address}")
        # Answers of the store are checked as those of upstreams.
        connector = functools.partial(DirectConnector, BoundedHandler)
        return PlatformTransport.from_config(config, open_connector=connector)

    def _create_components(self, context, tables):
        """Create the components that do not need the address of this host."""
        clock, send = context.clock, context.bus.send
        context.declarations = Declarations()
        context.callers = CallerDirectory(context.declarations)
        peer_key = self.settings.peer_key.encode()
        context.tokens = StreamTokens(peer_key)
        context.fingerprints = RequestFingerprints(peer_key)
        context.quarantine = QuarantineService(
            clock,
            context.identity.incarnation,
            send,
            self._other_hosts,
            context.metrics,
        )
        context.homes = HomeService(context, send, quarantine=context.quarantine)
        context.placement_queries = PlacementQueries(context, send)
        context.quarantine.on_changed = self._on_quarantine_changed
        context.grants = GrantClient(
            clock,
            send,
            context.homes.home_of,
            self._on_unresponsive,
            context.bus.reconnect,
            silent_ms=context.bus.silent_ms,
            report=HolderReport(clock.now_ms(), quarantine=context.quarantine),
        )
        context.abandoned_checks = AbandonedChecks(
            lambda *call: context.upstreams.check_link(*call),
            context.grants.report_lost,
        )
        context.dispatcher = Dispatcher(
            context.grants,
            clock,
            context.invariants,
            context.traces,
            context.metrics,
            context.abandoned_checks,
        )
        context.moves = MoveService(context, tables, send)
        context.configuration = ConfigurationService(
            context, tables, send, self._on_declarations
        )
        context.ledger = LedgerService.from_settings(
            self.settings,
            context.identity,
            clock,
            context.invariants,
            send,
            self._find_host,
        )

    def _other_hosts(self):
        context = self.context
        own_id = context.identity.host_id
        return [host for host in context.fleet.live_hosts() if host != own_id]

    def _on_quarantine_changed(self, records):
        self.context.homes.review_queues()

    def _on_unresponsive(self, host_id):
        self.context.fleet.on_unresponsive(host_id)

    def _find_host(self, incarnation):
        return self.context.fleet.host_of(incarnation)

    async def _open_paths(self, context):
        """Open the ways to upstreams: this host's links, and those of others."""
        frames = RelayFrames(
            self.settings.peer_key.encode(),
            context.identity.host_id,
            context.identity.incarnation,
            context.clock,
        )
        client = UpstreamClient()
        context.upstreams = UpstreamPaths.from_context(
            context, client, frames, REQUEST_ID_HEADER, self._relay_members
        )
        server = RelayServer(
            self._relay_listen_address(),
            frames,
            context,
            SuspendAwareClock.from_system(),
            context.dispatcher.register,
        )
        await self._open(server)
        server.serve(client, context.upstreams.links, RelayRules(context))
        ip, _, _ = context.identity.host_id.rpartition(":")
        _, _, port = server.address.rpartition(":")
        context.relay_address = f"{ip}:{port}"

    def _relay_listen_address(self):
        if self.settings.relay_listen_address:
            return str(self.settings.relay_listen_address)
        ip, _, _ = str(self.settings.peer_listen_address).rpartition(":")
        return f"{ip}:0"

    def _relay_members(self, regions):
        """Return the other hosts that may relay a request."""
        own, members = self.context.fleet.stable_members()
        return [member for member in members if member.address != own.address]

    async def _start_serving(self, context, tables):
        """Start to listen for callers, which determines this host's address."""
        await self._open(context.upstreams)
        await self._open(context.abandoned_checks)
        chat = ChatHandlers(context)
        context.stream_readers = StreamReaders(context)
        self._exit_stack.push_async_callback(context.stream_readers.close)
        operators = OperatorHandlers(
            context, OperatorDeclarations(tables, context.clock), self.begin_drain
        )
        self._server = HttpServer(context, chat, ServiceHandlers(context), operators)
        await self._open(self._server)
        advertise = self.settings.advertise_address
        address = str(advertise) if advertise else self._server.address
        identity = context.identity
        context.identity = self._identity(
            identity.incarnation, identity.host_id, address
        )
        context.fleet = Fleet.from_context(context)

    async def _open(self, component):
        await component.start()
        self._exit_stack.push_async_callback(component.close)
        return component

    async def close(self):
        """Stop all components in the reverse order of their start."""
        await self._exit_stack.aclose()

    def _on_host_list(self, members):
        self.context.fleet.on_list(listed_hosts(members))
        self._upstreams = listed_upstreams(members)
        listed = {item.upstream_id for item in self._upstreams}
        self.context.upstreams.links.set_listed(listed)
        self._apply_upstreams()

    def _apply_upstreams(self):
        evacuated = self.context.declarations.evacuations()
        self.context.homes.set_upstreams(mark_evacuated(self._upstreams, evacuated))

    def _log_evacuations(self, previous, declarations):
        """Log the failure domains whose evacuation begins, with its reason, or ends."""
        before, after = previous.evacuations(), declarations.evacuations()
        for name in sorted(after.keys() - before.keys()):
            _log.info("domain_evacuated", failure_domain=name, reason=after[name])
        for name in sorted(before.keys() - after.keys()):
            _log.info("domain_taken_back", failure_domain=name)

    def _on_declarations(self, declarations):
        """Apply a newer version of the declarations."""
        self._log_evacuations(self.context.declarations, declarations)
        self.context.declarations = declarations
        self.context.callers = CallerDirectory(declarations)
        self.context.homes.redeclare()
        self._apply_upstreams()
        _log.info("declarations_in_force", version=declarations.version)

    def _report_held_grants(self):
        pools = [pool.name for pool in self.context.declarations.pools]
        self.context.grants.send_held_ids(pools)

    def _update_gauges(self):
        context = self.context
        context.metrics.gauge(REQUESTS_OPEN, context.open_requests)
        context.metrics.gauge(HOSTS_LIVE, len(context.fleet.live_hosts()))
        context.metrics.gauge(DECLARATIONS_VERSION, context.declarations.version)
        context.metrics.gauge(LEDGER_IN_PROGRESS, context.ledger.in_progress)
        context.quarantine.update_gauges()
        for pool, count in context.upstreams.links.count_by_pool().items():
            context.metrics.gauge(LINKS_LOST, count, pool)
        for prop, count in context.invariants.violations.items():
            context.metrics.gauge(INVARIANT_VIOLATIONS, count, prop.name)
        for pool, home in context.homes.active().items():
            queued, granted = home.counts()
            context.metrics.gauge(QUEUE_LENGTH, queued, pool)
            context.metrics.gauge(GRANTS_IN_FLIGHT, granted, pool)

    def begin_drain(self):
        """Begin a planned stop of this host; further calls have no effect.

        Operators and supervisors may send the signal twice. Treating the second one as
        a request for immediate termination would cut the requests that the first one
        allows to finish.
        """
        if self._drain_task is not None:
            _log.info("drain_already_begun")
            return
        self._drain_task = asyncio.create_task(self._drain())

    async def _drain(self):
        """Leave the fleet, and let open requests finish or hand them over."""
        context = self.context
        _log.info("drain_begun", open_requests=context.open_requests)
        successor = context.fleet.successor()
        context.leaving = True
        context.fleet.leave()
        context.homes.close()
        if successor and await self._hand_over(successor):
            context.fleet.leave(successor)
        # Callers cache this host's address for its time to live and connect until then.
        await asyncio.sleep(self.settings.address_ttl_ms / MS_PER_S)
        await self._server.stop_listening()
        await self._wait_idle(self.settings.drain_limit_ms)
        if context.open_requests:
            _log.warning("drain_overrun", open_requests=context.open_requests)
            context.handover.begin()
            # Non-streaming answers and calls of plain services cannot be handed over.
            # They are not cut either, but get the same time again to finish.
            await self._wait_idle(self.settings.drain_limit_ms)
        await context.bus.flush(FLUSH_TIMEOUT_MS)
        _log.info("drain_ended", open_requests=context.open_requests)
        self.finished.set()

    async def _hand_over(self, successor):
        """Hand the key ledger to the successor; return whether it has it."""
        # An error here must not end the drain: the host would have announced that it
        # leaves, and stay with its requests until it is killed. Without the ledger, a
        # repeated key is answered with "outcome unknown", which is correct.
        try:
            return await self.context.ledger.hand_over(successor)
        except Exception:
            _log.error("ledger_not_handed_over", exc_info=True)
            return False

    async def _wait_idle(self, limit_ms):
        deadline_ms = self.context.clock.now_ms() + limit_ms
        while self.context.open_requests:
            if self.context.clock.now_ms() >= deadline_ms:
                return
            await asyncio.sleep(DRAIN_CHECK_INTERVAL_MS / MS_PER_S)


async def _main(settings, announce):
    host = HostProcess(settings)
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, host.begin_drain)
    try:
        await host.start()
        announce(host.context.identity)
        await host.finished.wait()
    finally:
        await host.close()


def run(settings, announce=None):
    """Run a host process until it has been drained.

    Parameters
    ==========
    settings : Settings
    announce : callable, optional
        ``announce(identity)`` is called when the host serves requests; by default a
        line with its addresses is printed to standard output.
    """
    configure_logs(settings.log_level, cache_loggers=True)
    with aiomisc.entrypoint(pool_size=THREAD_POOL_SIZE, log_config=False) as loop:
        loop.run_until_complete(_main(settings, announce or _print_addresses))


def _print_addresses(identity):
    print(
        f"listening address={identity.address} peer_address={identity.host_id}",
        flush=True,
    )
