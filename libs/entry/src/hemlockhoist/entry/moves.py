"""Version moves ordered by operators through the store."""

from hemlockhoist.base import (
    MoveError,
    PeriodicTask,
    PlatformError,
    Refused,
    ResultCode,
    get_logger,
)
from hemlockhoist.decisions.entry import HaltedOrders, MoveOrderState, order_state
from hemlockhoist.decisions.served_versions import (
    ServedVersionPolicy,
    StoreUptime,
    SupersededOrders,
    VersionPresence,
    VersionRoles,
    accepted_row,
    settled_row,
)
from hemlockhoist.decisions.versions import (
    Move,
    MoveAnnouncement,
    MoveController,
    MoveState,
    OwnVerdict,
    TrialBound,
    replace_versions,
)
from hemlockhoist.entry.known_records import KnownRecords
from hemlockhoist.entry.order_reports import OrderReports
from hemlockhoist.host.moves import IDLE_TICK_INTERVAL_MS, TABLE, MoveService

_log = get_logger("entry.moves")

ORDER_CHECK_INTERVAL_MS = 200
# Delay after a failure of the store before an order is started or reported again. An
# order has a time limit of some seconds, of which a longer delay would be a large part.
RETRY_DELAY_MS = 500
# Fraction of an order's duration by which all requests are to be on the new version. In
# the remaining time the old version's last responses end and the result is reported to
# the operators.
MOVED_FRACTION = 0.85
# Fractions of that time: how long the bound on the trial applies to all routes, and the
# earliest end of a move. The rest is for gathering evidence under the full load.
TRIAL_UNTIL_FRACTION = 0.75
TRIAL_END_FRACTION = 0.9
# Fraction of the declared bound on an unproven version that is used. Hosts that
# schedule alone grant a little on top, and responses in progress when the version is
# halted count too.
TRIAL_FRACTION = 0.6
# Duration of the lease on a pool's moves. An order has to finish within seconds, and a
# new home widens nothing before its predecessor's lease has expired.
LEASE_MS = 2_000


def trial_bound(bounds):
    """Return the bound on the requests that an unproven version may get.

    Parameters
    ==========
    bounds : FleetBounds
    """
    return TrialBound(
        share_permille=int(1_000 * TRIAL_FRACTION * bounds.trial_share),
        requests=int(TRIAL_FRACTION * bounds.trial_tolerance),
        until_fraction=TRIAL_UNTIL_FRACTION,
        min_end_fraction=TRIAL_END_FRACTION,
    )


class OrderedMoveService(MoveService):
    """Executes the operators' orders at the home of each pool.

    Parameters
    ==========
    context : EntryContext
    rows : TypedRows
        Stores the moves and the lease on them.
    send : callable
        ``send(host_id, message)``.
    """

    lease_ms = LEASE_MS

    __slots__ = (
        "_halted",
        "_known",
        "_orders",
        "_policies",
        "_presence",
        "_received_ms",
        "_reports",
        "_retry_due_ms",
        "_superseded",
        "_task",
        "uptime",
    )

    def __init__(self, context, rows, send):
        super().__init__(context, rows, send)
        self._orders = {}
        self._received_ms = {}
        self._halted = HaltedOrders()
        self._known = KnownRecords(context.clock)
        # Policies of the pools whose home is at this host.
        self._policies = {}
        self._presence = VersionPresence()
        self.uptime = StoreUptime()
        self._reports = OrderReports(context)
        self._superseded = SupersededOrders()
        self._retry_due_ms = 0
        self._task = PeriodicTask(self._check_interval_ms, self._follow_orders)

    async def start(self):
        """Start executing orders."""
        await super().start()
        await self._task.start()

    async def close(self):
        """Stop, and release the leases."""
        await self._task.close()
        await super().close()

    def receive_order(self, order):
        """Accept an operator's order; ignore one that is already known, or older."""
        previous = self._orders.get(order.pool)
        if previous is not None and (
            previous.order_id == order.order_id
            or previous.store_version > order.store_version
        ):
            return
        if previous is not None:
            is_older = self._pool_presence(order.pool).is_older(
                previous.to_version, previous
            )
            self._superseded.replace(previous, is_older)
        self._orders[order.pool] = order
        self._received_ms[order.pool] = self._context.clock.now_ms()
        self._want_record(order.pool, is_first=previous is None)
        # A new order retries a version that was halted in an earlier move.
        self._halted.keep_only(order.pool, order.to_version, order.order_id)
        _log.info(
            "move_ordered",
            pool=order.pool,
            order=order.order_id,
            version=order.to_version,
            duration_ms=order.duration_ms,
        )

    def _want_record(self, pool, is_first):
        """Have the record of an ordered pool read, unless there can't be one.

        The first order that comes while the store is followed without a gap is the
        pool's first: earlier ones would have been read with the other orders.
        """
        stable_ms = self.uptime.stable_ms(self._context.clock.now_ms())
        if is_first and stable_ms > 0:
            self._known.add(pool)
        self._known.want(pool)
        self._task.wake()

    def check_version(self, pool, version):
        """Refuse to send to a version that was halted since the grant.

        Raises
        ======
        Refused
        """
        if self._halted.has(pool, version, self._order_id_for(pool, version)):
            raise Refused(f"{version} is halted", ResultCode.GRANT_EXPIRED)

    # Overrides for a platform on which versions are not declared but ordered.

    def open_pool(self, pool):
        """Return the version policy of a pool whose home is now this host."""
        policy = self._serve_by_record(super().open_pool(pool), pool)
        self._policies[pool.name] = policy
        return policy

    def close_pool(self, pool):
        """Discard the controller of a pool whose home at this host has closed."""
        super().close_pool(pool)
        self._policies.pop(pool, None)

    def open_standby(self, pool):
        """Return the version policy of a pool that this host schedules alone."""
        return self._serve_by_record(super().open_standby(pool), pool)

    def _serve_by_record(self, controller, pool):
        return ServedVersionPolicy(
            controller,
            lambda: self._orders.get(pool.name),
            lambda: self._pool_presence(pool.name),
            pool.version_rules,
            trial_bound(self._context.settings.bounds),
            lambda: self._known.has(pool.name),
            self._superseded.of_pool(pool.name),
        )

    def _open_controller(self, pool):
        controller = super()._open_controller(pool)
        row = controller.row
        if row is not None and self._is_halted(row):
            now_ms = self._context.clock.now_ms()
            controller.halt(row.to_version, "halted by another host", now_ms)
        return controller

    def _tick(self, pool, controller):
        """Halt a version that its own answers show to be bad, and go on as usual."""
        row = controller.row
        verdicts = self._own_verdicts(pool)
        if self._is_running(controller) and verdicts.get(row.to_version) is (
            OwnVerdict.BAD
        ):
            reason = "its own answers are bad, and no other version can serve"
            controller.halt(row.to_version, reason, self._context.clock.now_ms())
        super()._tick(pool, controller)

    def _own_verdicts(self, pool):
        policy = self._policies.get(pool)
        return policy.own_verdicts() if policy is not None else {}

    def _wanted_row(self, pool, controller, fencing):
        wanted = super()._wanted_row(pool, controller, fencing)
        row = controller.row
        if wanted is None and row is not None:
            verdict = self._own_verdicts(pool).get(row.to_version)
            if verdict is OwnVerdict.PROVEN:
                now_ms = self._context.clock.now_ms()
                wanted = controller.lone_end(now_ms, fencing)
        if wanted is not None and wanted.state is MoveState.FINISHED:
            return self._with_replaced(pool, wanted)
        return wanted

    def _with_replaced(self, pool, row):
        """Return the row of a finished move with all versions that served beside it."""
        presence = self._pool_presence(pool)
        serving = VersionRoles(row, self._orders.get(pool), presence).serving()
        return replace_versions(row, [x for x in serving if x != row.to_version])

    def _observe(self, controller, row):
        super()._observe(controller, row)
        if row is not None:
            self._known.add(row.value.pool)
            self._settle_memory(row.value)

    async def _read(self, pool, controller):
        """Read and apply the stored row; return whether it could be read."""
        is_read = await super()._read(pool, controller)
        if is_read:
            self._known.add(pool)
        return is_read

    def on_announced(self, message):
        """Store a home's announcement of its move and merge it into the controllers."""
        super().on_announced(message)
        self._known.add(message.pool)
        self._settle_memory(self._announced[message.pool].row)

    def _settle_memory(self, row):
        """Forget what a row of a pool's moves has settled."""
        self._halted.settle(row)
        self._superseded.settle(row)

    def observe_upstreams(self, upstreams):
        """Record the usable upstreams of all pools, leaving ones among them."""
        self._presence.observe(upstreams, self._context.clock.now_ms())

    def _pool_presence(self, pool):
        now_ms = self._context.clock.now_ms()
        return self._presence.pool(pool, now_ms, self.uptime.stable_ms(now_ms))

    def _new_controller(self, pool, row, now_ms):
        return MoveController.from_config(
            pool,
            row,
            now_ms,
            self._fleet_time_ms(),
            self._context.invariants,
            trial_bound(self._context.settings.bounds),
            # The old version's upstreams stop when the move ends.
            watch_ms=0,
        )

    def _fleet_time_ms(self):
        return self._context.store_view.store_now_ms()

    def _may_have_move(self, pool):
        order = self._orders.get(pool)
        return order is not None and not self._reports.has_ended(order)

    def _recipients(self, pool):
        # Any host may have to schedule alone.
        return self._context.fleet.live_hosts()

    def _publish_halt(self, pool, move_id, version):
        self._halted.record(pool, version, move_id)

    def _is_halted(self, move):
        return self._halted.has(move.pool, move.to_version, move.move_id)

    def _revoke(self, message):
        self._halted.record(message.pool, message.version, message.move_id)

    def _order_id_for(self, pool, version):
        """Return the id of the order in force, or None if it is for another version.

        Under an order for another version, halts of all earlier ones hold.
        """
        order = self._orders.get(pool)
        if order is None or order.to_version != version:
            return None
        return order.order_id

    # Orders.

    def _check_interval_ms(self):
        is_pending = any(self._may_have_move(pool) for pool in self._orders)
        return ORDER_CHECK_INTERVAL_MS if is_pending else IDLE_TICK_INTERVAL_MS

    async def _follow_orders(self):
        if self._context.clock.now_ms() < self._retry_due_ms:
            return
        await self._read_wanted()
        for pool, order in list(self._orders.items()):
            controller = self._controllers.get(pool)
            if controller is None:
                continue
            try:
                await self._follow_order(order, controller)
            except (PlatformError, MoveError) as error:
                _log.warning("move_order_failed", pool=pool, reason=error.message)
                self._retry_due_ms = self._context.clock.now_ms() + RETRY_DELAY_MS

    async def _read_wanted(self):
        """Read the records that are not known yet, also before a pool's home opens."""
        for pool in self._known.wanted():
            try:
                row = await self._tables.read(TABLE, pool, Move)
            except PlatformError as error:
                _log.warning("move_not_read", pool=pool, reason=error.message)
                self._retry_due_ms = self._context.clock.now_ms() + RETRY_DELAY_MS
                return
            self._learn(pool, row)

    def _learn(self, pool, row):
        """Use the record of a pool, or that there is none."""
        self._known.add(pool)
        if row is None:
            return
        self._announced.setdefault(pool, MoveAnnouncement(row=row.value, halted={}))
        for controller in self._controllers_of(pool):
            self._observe(controller, row)

    async def _follow_order(self, order, controller):
        """Start an order's move, or report its state to the operators.

        Failure prevented: a host becomes home just after the end of a move, and knows
        only an earlier announcement of the previous home. Operators to whom the end was
        reported would then be informed that the move is in progress. The store is
        therefore read before the first report.
        """
        if not self._reports.has_reported(order) and not await self._read(
            order.pool, controller
        ):
            return
        row = controller.row
        if row is None or row.move_id != order.order_id:
            row = await self._begin_move(order)
        if row is None or row.move_id != order.order_id:
            return
        row = await self._settle(order.pool, row)
        await self._report(order, row)

    async def _settle(self, pool, row):
        """Write what has changed of the pool's versions; return the newest row."""
        verdicts = self._own_verdicts(pool)

        def settled(row):
            if row is None:
                return None
            presence = self._pool_presence(pool)
            return settled_row(row, presence, verdicts, self._fleet_time_ms())

        if settled(row) == row:
            return row
        return await self._update_row(pool, settled)

    async def _report(self, order, row):
        """Report the state of an order by its row.

        Completion is reported by a home only that knows the grants of all hosts:
        operators stop the other upstreams on that report.
        """
        home = self._context.homes.find(order.pool)
        in_flight = 0
        if home is not None:
            in_flight = home.scheduler.in_flight_besides(row.to_version)
        state = order_state(row, in_flight)
        is_recovering = home is not None and home.recovered_ms is None
        if state is MoveOrderState.COMPLETED and is_recovering:
            return
        is_over = row.state is not MoveState.RUNNING
        await self._reports.report(order, state, is_over)

    async def _begin_move(self, order):
        """Start the move of an order; return its row, or None while it has to wait.

        It starts before the first upstream of its version is listed. Failure prevented:
        all hosts are killed before that, another version is ordered meanwhile, and
        nothing tells any more that the first one was never proven.
        """
        return await self._update_row(
            order.pool, lambda row: self._accepted_row(row, order)
        )

    def _accepted_row(self, row, order):
        """Return the row with which an order begins, or ``row`` while it has to wait."""
        waited_ms = self._context.clock.now_ms() - self._received_ms[order.pool]
        remaining_ms = max(1, int(MOVED_FRACTION * order.duration_ms) - waited_ms)
        presence = self._pool_presence(order.pool)
        accepted = accepted_row(
            row,
            order,
            presence,
            self._fleet_time_ms(),
            remaining_ms,
            self._superseded.of_pool(order.pool),
        )
        return row if accepted is None else accepted
