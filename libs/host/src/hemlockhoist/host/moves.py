"""Runs version moves at the homes of their pools: rows, leases and announcements."""

import asyncio
import collections

import msgspec

from hemlockhoist.base import (
    MoveError,
    PeriodicTask,
    PlatformError,
    StoreConflict,
    get_logger,
)
from hemlockhoist.base.metrics_table import (
    MOVES_IN_TIME,
    MOVES_LATE,
    MOVES_ROLLED_BACK,
    MOVES_STARTED,
)
from hemlockhoist.decisions.versions import (
    Finished,
    Move,
    MoveAnnouncement,
    MoveController,
    MoveState,
    TakenBack,
    cancel_move,
    is_older,
    start_move,
)
from hemlockhoist.messages import MoveAnnounced, VersionHalted
from hemlockhoist.store import ABSENT, Lease

_log = get_logger("host.moves")

TABLE = "moves"
# How often a home evaluates its move and writes the resulting row.
TICK_INTERVAL_MS = 200
# Used while no pool at home here has a move, since each wake-up of an idle host counts
# as control overhead.
IDLE_TICK_INTERVAL_MS = 1_000
# How often the rows are read. An operator's order reaches the home by its row in the
# store.
READ_INTERVAL_MS = 1_000
# How often a move is announced to the next hosts in line as home, which need it when
# the store is down.
ANNOUNCE_INTERVAL_MS = 2_000
LEASE_MS = 10_000
MAX_EVENTS = 200
# Delay after a failure of the store before a row is read or written again. A halt is in
# force without the store.
STORE_BACKOFF_MS = 2_000


class MoveService:
    """Runs the move controllers of the pools whose home is at this host.

    Parameters
    ==========
    context : HostContext
    tables : TableClient
    send : callable
        ``send(host_id, message)``.
    """

    lease_ms = LEASE_MS

    __slots__ = (
        "_announced",
        "_backoff_until_ms",
        "_context",
        "_controllers",
        "_leases",
        "_send",
        "_standbys",
        "_tables",
        "_tasks",
        "_writing",
        "events",
    )

    def __init__(self, context, tables, send):
        self._context = context
        self._tables = tables
        self._send = send
        self._controllers = {}
        # Controllers of the latest standby home of each pool.
        self._standbys = {}
        self._announced = {}
        self._leases = {}
        self._backoff_until_ms = 0
        # The task that advances a pool's move, by pool.
        self._writing = {}
        self._tasks = (
            PeriodicTask(self._tick_ms, self._tick_all),
            PeriodicTask(READ_INTERVAL_MS, self._read_all),
            PeriodicTask(ANNOUNCE_INTERVAL_MS, self._announce_all),
        )
        self.events = collections.deque(maxlen=MAX_EVENTS)

    async def start(self):
        """Start evaluating moves, reading their rows and announcing them."""
        for task in self._tasks:
            await task.start()

    async def close(self):
        """Stop, and release the leases."""
        for task in self._tasks:
            await task.close()
        writing = list(self._writing.values())
        for task in writing:
            task.cancel()
        await asyncio.gather(*writing, return_exceptions=True)
        for lease in self._leases.values():
            try:
                if lease.held():
                    await lease.release()
            except PlatformError as error:
                _log.warning("lease_not_released", reason=error.message)

    def open_pool(self, pool):
        """Return the version policy for a pool whose home has started here."""
        controller = self._controllers[pool.name] = self._open_controller(pool)
        return controller

    def open_standby(self, pool):
        """Return the version policy for a standby home of a pool.

        It grants within the shares known at this host and halts versions by its own
        evidence. Only the pool's home widens shares.
        """
        controller = self._standbys[pool.name] = self._open_controller(pool)
        return controller

    def _controllers_of(self, pool):
        """Return the controllers of a pool's home and standby home at this host."""
        found = (self._controllers.get(pool), self._standbys.get(pool))
        return [controller for controller in found if controller is not None]

    def _open_controller(self, pool):
        now_ms = self._context.clock.now_ms()
        announcement = self._announced.get(pool.name)
        row = announcement.row if announcement else None
        controller = self._new_controller(pool, row, now_ms)
        if announcement is not None:
            controller.observe_announcement(announcement, now_ms)
        return controller

    def _new_controller(self, pool, row, now_ms):
        return MoveController.from_config(
            pool, row, now_ms, self._fleet_time_ms(), self._context.invariants
        )

    # Methods overridden for fleets on other platforms.

    def _fleet_time_ms(self):
        """Return the time shared by all hosts, in milliseconds."""
        return self._context.clock.unix_ms()

    def _may_have_move(self, pool):
        """Return whether a pool may have a move, so that its row has to be read."""
        return True

    def _recipients(self, pool):
        """Return the hosts to which the state of a pool's move is announced."""
        return self._context.fleet.homes(pool, 0)

    def _publish_halt(self, pool, move_id, version):
        """Publish a halt where hosts that missed its message learn of it."""
        self._context.configuration.halt(pool, move_id, version)

    def _is_halted(self, move):
        """Return whether any host has halted the new version of a move."""
        return self._context.configuration.is_halted(
            move.pool, move.move_id, move.to_version
        )

    def _revoke(self, message):
        """Revoke this host's unused grants of a halted version."""
        self._context.dispatcher.revoke(message.pool, message.version, message.reason)

    def redeclare(self, pool):
        """Apply a changed declaration of a pool."""
        controller = self._controllers.get(pool.name)
        if controller is not None:
            controller.redeclare(pool)

    def close_pool(self, pool):
        """Discard the controller of a pool whose home at this host has closed."""
        self._controllers.pop(pool, None)

    def _tick_ms(self):
        rows = (item.row for item in self._controllers.values())
        return (
            TICK_INTERVAL_MS
            if any(row is not None for row in rows)
            else IDLE_TICK_INTERVAL_MS
        )

    def _tick_all(self):
        for pool, controller in list(self._controllers.items()):
            self._tick(pool, controller)

    def _tick(self, pool, controller):
        """Evaluate a pool's move, and start to write what follows.

        Failure prevented: the store takes seconds for an answer, and a version that
        turns bad meanwhile is not halted before the answer comes.
        """
        for event in controller.tick(self._context.clock.now_ms()):
            self._record_event(event)
        self._announce_halts(pool, controller)
        is_waiting = self._context.clock.now_ms() < self._backoff_until_ms
        if pool not in self._writing and not is_waiting:
            task = asyncio.create_task(self._advance(pool, controller))
            self._writing[pool] = task
            task.add_done_callback(lambda done: self._on_written(pool, done))

    def _on_written(self, pool, task):
        del self._writing[pool]
        if not task.cancelled() and task.exception() is not None:
            _log.error("move_failed", pool=pool, exc_info=task.exception())

    async def _advance(self, pool, controller):
        """Write the next row of a running move, under the lease on the pool's moves."""
        fencing = (
            await self._fencing_token(pool) if self._is_running(controller) else None
        )
        basis = controller.row
        # Called once per tick: the controller plans a step at each call, and a second
        # call in the same tick would return none.
        wanted = self._wanted_row(pool, controller, fencing)
        if wanted is not None:
            await self._write(pool, controller, basis, wanted)

    def _wanted_row(self, pool, controller, fencing):
        """Return the row to write next, or None."""
        return controller.wanted_row(self._context.clock.now_ms(), fencing)

    def _is_running(self, controller):
        return controller.row is not None and controller.row.state is MoveState.RUNNING

    def _record_event(self, event):
        kind = type(event).__name__
        fields = msgspec.to_builtins(event)
        self.events.append({"event": kind, **fields})
        _log.info(f"move_{kind.lower()}", **fields)
        if isinstance(event, TakenBack):
            self._context.metrics.count(MOVES_ROLLED_BACK, event.pool)
        elif isinstance(event, Finished):
            metric = MOVES_LATE if event.late_ms else MOVES_IN_TIME
            self._context.metrics.count(metric, event.pool)

    def _announce_halts(self, pool, controller):
        """Notify every host of versions halted since the last tick.

        A halt is rare and must not wait for the next announcement, since entry hosts
        still hold unused grants of the bad version.
        """
        known = self._announced.get(pool)
        announcement = controller.announcement()
        if announcement is None:
            return
        self._announced[pool] = announcement
        known_halts = known.halted if known is not None else {}
        for version, reason in announcement.halted.items():
            if version in known_halts:
                continue
            message = VersionHalted(
                pool=pool,
                move_id=announcement.row.move_id,
                version=version,
                reason=reason,
            )
            for host in self._context.fleet.live_hosts():
                self._send(host, message)
            self._publish_halt(pool, message.move_id, version)

    async def _fencing_token(self, pool):
        """Return the fencing token of a held lease on the pool's moves, or None."""
        lease = self._leases.get(pool)
        if lease is None:
            lease = Lease.from_config(
                self._tables,
                self._context.clock,
                f"move/{pool}",
                self._context.identity.incarnation,
                self.lease_ms,
            )
            self._leases[pool] = lease
        try:
            if not lease.held():
                await lease.acquire()
            elif lease.needs_renewal:
                await lease.renew()
        except PlatformError:
            # The store is unavailable or another host holds the lease. Neither changes
            # quickly.
            self._back_off()
        return lease.fencing if lease.held() else None

    async def _write(self, pool, controller, basis, wanted):
        """Write the row ``wanted`` if the stored row still equals ``basis``."""
        try:
            row = await self._tables.read(TABLE, pool, Move)
            if row is None or row.value != basis:
                self._observe(controller, row)
                return
            written = await self._tables.put(TABLE, pool, wanted, row.version)
            self._observe(controller, written)
        except StoreConflict:
            # Another host or an operator wrote first; the next tick reads that row.
            return
        except PlatformError as error:
            _log.warning("move_not_written", pool=pool, reason=error.message)
            self._back_off()

    def _back_off(self):
        self._backoff_until_ms = self._context.clock.now_ms() + STORE_BACKOFF_MS

    def _observe(self, controller, row):
        """Apply a stored row, and a halt of its move by any host, to a controller."""
        if row is None:
            return
        now_ms = self._context.clock.now_ms()
        move = row.value
        controller.record_unix_ms(now_ms, self._fleet_time_ms())
        controller.observe_row(move, now_ms)
        if self._is_halted(move):
            controller.halt(move.to_version, "halted by another host", now_ms)

    async def _read_all(self):
        for pool, controller in list(self._controllers.items()):
            is_backing_off = self._context.clock.now_ms() < self._backoff_until_ms
            if self._may_have_move(pool) and not is_backing_off:
                await self._read(pool, controller)

    async def _read(self, pool, controller):
        """Read and apply the stored row; return whether it could be read."""
        try:
            row = await self._tables.read(TABLE, pool, Move)
        except PlatformError as error:
            _log.warning("move_not_read", pool=pool, reason=error.message)
            self._back_off()
            return False
        self._observe(controller, row)
        return True

    def _announce_all(self):
        for pool, controller in list(self._controllers.items()):
            self._announce(pool, controller)

    def _announce(self, pool, controller):
        announcement = controller.announcement()
        if announcement is None:
            return
        message = MoveAnnounced(pool=pool, row=msgspec.json.encode(announcement))
        own = self._context.identity.host_id
        for host in self._recipients(pool):
            if host != own:
                self._send(host, message)

    def on_announced(self, message):
        """Store a home's announcement of its move and merge it into the controllers."""
        announcement = msgspec.json.decode(message.row, type=MoveAnnouncement)
        known = self._announced.get(message.pool)
        if known is None or not is_older(announcement.row, known.row):
            self._announced[message.pool] = announcement
        now_ms = self._context.clock.now_ms()
        for controller in self._controllers_of(message.pool):
            controller.observe_announcement(announcement, now_ms)

    def on_halted(self, message):
        """Stop issuing and using grants of a version that another host halted."""
        self._revoke(message)
        now_ms = self._context.clock.now_ms()
        for controller in self._controllers_of(message.pool):
            row = controller.row
            if row is not None and row.move_id == message.move_id:
                controller.halt(message.version, message.reason, now_ms)

    def leases(self):
        """Return the leases on moves that this host has requested, for ``status``."""
        return [
            {
                "lease": f"move/{pool}",
                "held": lease.held(),
                "fencing": lease.fencing,
                "remaining_ms": lease.remaining_ms(),
            }
            for pool, lease in sorted(self._leases.items())
        ]

    async def rows(self):
        """Return the latest move of each pool.

        Raises
        ======
        PlatformError
        """
        return [row.value for row in await self._tables.list(TABLE, Move)]

    async def order(self, request):
        """Start a move for an operator and return its row.

        Raises
        ======
        MoveError, PlatformError
        """
        if self._context.declarations.pool(request.pool) is None:
            raise MoveError(f"no pool {request.pool!r}")
        unix_ms = self._fleet_time_ms()
        row = await self._update_row(
            request.pool, lambda row: start_move(row, request, unix_ms)
        )
        if row.started_unix_ms == unix_ms:
            # A repeated order finds the row of the first one, which was counted.
            self._context.metrics.count(MOVES_STARTED, row.pool)
        return row

    async def cancel(self, move_id, reason, author):
        """Cancel a move for an operator and return its row.

        Raises
        ======
        MoveError, PlatformError
        """
        for row in await self.rows():
            if row.move_id == move_id:
                return await self._update_row(
                    row.pool, lambda found: cancel_move(found, move_id, reason, author)
                )
        return cancel_move(None, move_id, reason, author)

    async def _read_row(self, pool):
        """Return the stored move of a pool, or None, and the version of its row."""
        row = await self._tables.read(TABLE, pool, Move)
        return (None, ABSENT) if row is None else (row.value, row.version)

    async def _update_row(self, pool, change):
        current, version = await self._read_row(pool)
        wanted = change(current)
        if wanted == current:
            return wanted
        try:
            written = await self._tables.put(TABLE, pool, wanted, version)
        except StoreConflict:
            # Another operator or the home wrote first: apply the change to its row.
            current, version = await self._read_row(pool)
            wanted = change(current)
            if wanted == current:
                return wanted
            written = await self._tables.put(TABLE, pool, wanted, version)
        controller = self._controllers.get(pool)
        if controller is not None:
            self._observe(controller, written)
        return written.value
