"""Fetches declarations from the store and peers and puts them in force."""

import asyncio

from hemlockhoist.base import MS_PER_S, PeriodicTask, PlatformError, get_logger
from hemlockhoist.decisions.configuration import ConfigurationState
from hemlockhoist.host.declarations_row import DeclarationsRow
from hemlockhoist.host.section_content import SectionContent
from hemlockhoist.messages import HaltedVersion

_log = get_logger("host.configuration")

# The state has to be ticked at least once a second. An operator's change at this host
# reaches the others within a few ticks.
TICK_INTERVAL_MS = 200
# How long an operator's request waits for summaries; collectors reply within
# milliseconds.
REPORT_WAIT_MS = 300
NOT_CONFIRMED = -1


class ConfigurationService:
    """Drives the configuration state and puts newer versions in force.

    Parameters
    ==========
    context : HostContext
    tables : TableClient
    send : callable
        ``send(host_id, message)``.
    on_change : callable
        ``on_change(declarations)`` puts them in force before it returns.
    """

    __slots__ = (
        "_context",
        "_fleet_version",
        "_on_change",
        "_read_task",
        "_row",
        "_send",
        "_state",
        "_task",
    )

    def __init__(self, context, tables, send, on_change):
        self._context = context
        self._row = DeclarationsRow(tables)
        self._send = send
        self._on_change = on_change
        self._state = None
        self._task = PeriodicTask(TICK_INTERVAL_MS, self._tick)
        self._read_task = None
        self._fleet_version = None

    async def start(self):
        """Start reading the row and exchanging versions with peers."""
        identity = self._context.identity
        self._state = ConfigurationState.from_config(
            identity.host_id,
            identity.incarnation,
            self._context.invariants,
            identity.incarnation,
            SectionContent(),
            self._context.settings.config_poll_ms,
        )
        await self._task.start()

    async def close(self):
        """Stop the exchange and cancel a read in progress."""
        await self._task.close()
        if self._read_task is not None:
            self._read_task.cancel()
            await asyncio.gather(self._read_task, return_exceptions=True)

    def is_ready(self):
        """Return whether callers may be served under this host's declarations."""
        now_ms = self._context.clock.now_ms()
        return self._state is not None and self._state.is_ready(now_ms)

    def read_now(self):
        """Read the row at once, since a change was just accepted at this host."""
        self._start_read()

    def on_message(self, message):
        """Handle a peer's message about the configuration."""
        if self._state is None:
            return
        now_ms = self._context.clock.now_ms()
        self._emit(self._state.on_message(message, now_ms))
        self._apply_newest()

    def halt(self, pool, move_id, version):
        """Spread a halted version to every host, including hosts that join later."""
        halted = HaltedVersion(pool=pool, move_id=move_id, version=version)
        self._emit(self._state.halt(halted, self._context.clock.now_ms()))

    def is_halted(self, pool, move_id, version):
        """Return whether a version was halted in a move."""
        return self._state.is_halted(pool, move_id, version)

    async def versions_in_force(self, version):
        """Return, for each live host, ``version`` or ``NOT_CONFIRMED``."""
        self._emit(self._state.request_summaries())
        await asyncio.sleep(REPORT_WAIT_MS / MS_PER_S)
        report = self._state.report(version)
        lagging = {*report.lagging, *report.unreported_collectors}
        return {
            host: NOT_CONFIRMED if host in lagging else version
            for host in self._context.fleet.live_hosts()
        }

    def _tick(self):
        now_ms = self._context.clock.now_ms()
        self._apply_fleet(now_ms)
        self._emit(self._state.tick(now_ms))
        if self._state.store_read_due(now_ms):
            self._start_read()

    def _apply_fleet(self, now_ms):
        fleet = self._context.fleet
        if fleet.version == self._fleet_version:
            return
        self._fleet_version = fleet.version
        self._state.set_view(fleet.members(), fleet.rank("configuration"), now_ms)

    def _start_read(self):
        # One read at a time, as a task: a slow store must neither block the exchange
        # with peers nor be queried again before it has answered.
        if self._read_task is None or self._read_task.done():
            self._read_task = asyncio.create_task(self._read())

    async def _read(self):
        try:
            newer = await self._row.read_newer(self._state.version)
        except PlatformError as error:
            self._state.on_store_failure(self._context.clock.now_ms())
            _log.warning("declarations_unreadable", reason=error.message)
            return
        now_ms = self._context.clock.now_ms()
        declarations = self._state.current if newer is None else newer
        self._emit(self._state.on_store_answer(declarations, now_ms))
        self._apply_newest()

    def _apply_newest(self):
        now_ms = self._context.clock.now_ms()
        declarations = self._state.serving_declarations(now_ms)
        if declarations.version <= self._context.declarations.version:
            return
        self._on_change(declarations)
        self._emit(self._state.mark_in_force(declarations.version, now_ms))

    def _emit(self, outgoing):
        for item in outgoing:
            self._send(item.address, item.message)
