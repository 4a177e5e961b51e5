"""Version moves that operators order through the store."""

from hemlockhoist.base import (
    MoveError,
    PeriodicTask,
    PlatformError,
    Refused,
    ResultCode,
    StoreConflict,
    get_logger,
)
from hemlockhoist.decisions.entry import (
    HaltedVersions,
    OrderState,
    WithheldVersionPolicy,
    live_versions,
    order_state,
    source_version,
)
from hemlockhoist.decisions.versions import (
    MoveController,
    MoveRequest,
    MoveState,
    TrialBound,
    cancel_move,
    start_move,
)
from hemlockhoist.host.moves import IDLE_TICK_MS, MoveService

_log = get_logger("entry.moves")

ORDERS_MS = 200
# After the store failed, before an order is begun or told again: it has a time limit
# of some seconds, of which a longer rest would be a large part.
RETRY_MS = 500
# Part of an order's time by which all requests are to be on the new version. In the
# rest the old version's last answers end and the operators are told.
MOVED_FRACTION = 0.85
# Parts of that time: while the bound on the trial holds for all routes, and before
# which a move does not end. The rest is for the evidence under the whole load.
TRIAL_UNTIL_FRACTION = 0.75
TRIAL_END_FRACTION = 0.9
# Of the declared bound on an unproven version, what is used: hosts that decide alone
# give out a little besides, and answers under way when it is halted count too.
TRIAL_FRACTION = 0.6
AUTHOR = "hemlockhoist"
# Of the lease on a pool's moves: an order has to be over in seconds, and the next home
# widens nothing before its predecessor's lease has ended.
LEASE_MS = 2_000
_FINAL = frozenset({OrderState.COMPLETED, OrderState.ROLLED_BACK})


def trial_bound(bounds):
    """Return the bound on what an unproven version may get.

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
    """Carries out the operators' orders at the pools' home.

    Parameters
    ==========
    context : EntryContext
    rows : TypedRows
        Holds the moves and the lease on them.
    send : callable
        ``send(host_id, message)``.
    """

    lease_ms = LEASE_MS

    __slots__ = ("_halted", "_orders", "_received_ms", "_retry_ms", "_task", "_told")

    def __init__(self, context, rows, send):
        super().__init__(context, rows, send)
        self._orders = {}
        self._received_ms = {}
        self._halted = HaltedVersions()
        self._told = {}
        self._retry_ms = 0
        self._task = PeriodicTask(self._follow_ms, self._follow_orders)

    async def start(self):
        """Begin to carry orders out."""
        await super().start()
        await self._task.start()

    async def close(self):
        """Stop, and give leases up."""
        await self._task.close()
        await super().close()

    def receive_order(self, order):
        """Take an operator's order, or its repetition by a reading."""
        former = self._orders.get(order.pool)
        if former is not None and former.order_id == order.order_id:
            return
        self._orders[order.pool] = order
        self._received_ms[order.pool] = self._context.clock.now_ms()
        # A version that was halted in an earlier move is tried again by a new order.
        self._halted.keep_only(order.pool, order.to_version, order.order_id)
        _log.info(
            "move_ordered",
            pool=order.pool,
            order=order.order_id,
            version=order.to_version,
            duration_ms=order.duration_ms,
        )

    def check_version(self, pool, version):
        """Refuse to send to a version that was halted since the grant.

        Raises
        ======
        Refused
        """
        if self._halted.has(pool, version, self._order_id(pool)):
            raise Refused(f"{version} is halted", ResultCode.GRANT_EXPIRED)

    # What differs from a fleet with declared versions.

    def open_pool(self, pool):
        """Return the version policy for a pool that this host is now home of."""
        return self._held_back(super().open_pool(pool), pool.name)

    def open_standby(self, pool):
        """Return the version policy of a pool for which this host decides alone."""
        return self._held_back(super().open_standby(pool), pool.name)

    def _held_back(self, controller, pool):
        if isinstance(controller, WithheldVersionPolicy):
            return controller
        return WithheldVersionPolicy(controller, lambda: self._pending_order(pool))

    def _pending_order(self, pool):
        order = self._orders.get(pool)
        if order is None or not source_version(order, self._versions(pool)):
            return None
        return order

    def _versions(self, pool):
        return live_versions(self._context.homes.upstreams(), pool)

    def _new_controller(self, pool, row, now_ms):
        return MoveController.from_config(
            pool,
            row,
            now_ms,
            self._fleet_time_ms(),
            self._context.invariants,
            trial_bound(self._context.settings.bounds),
            # The old version's upstreams stop with the end of the move.
            watch_ms=0,
        )

    def _fleet_time_ms(self):
        return self._context.store_view.store_now_ms()

    def _may_have_move(self, pool):
        order = self._orders.get(pool)
        if order is None:
            return False
        told_id, told_state = self._told.get(pool, ("", None))
        return told_id != order.order_id or told_state not in _FINAL

    def _recipients(self, pool):
        # Each host may have to decide alone.
        return self._context.fleet.live_hosts()

    def _publish_halt(self, pool, move_id, version):
        self._halted.record(pool, version, move_id)

    def _is_halted(self, move):
        return self._halted.has(move.pool, move.to_version, move.move_id)

    def _revoke(self, message):
        self._halted.record(message.pool, message.version, message.move_id)

    def _order_id(self, pool):
        order = self._orders.get(pool)
        return order.order_id if order is not None else None

    # Orders.

    def _follow_ms(self):
        is_open = any(self._may_have_move(pool) for pool in self._orders)
        return ORDERS_MS if is_open else IDLE_TICK_MS

    async def _follow_orders(self):
        if self._context.clock.now_ms() < self._retry_ms:
            return
        for pool, order in list(self._orders.items()):
            controller = self._controllers.get(pool)
            if controller is None:
                continue
            try:
                await self._follow(order, controller)
            except (PlatformError, MoveError) as error:
                _log.warning("move_not_followed", pool=pool, reason=error.message)
                self._retry_ms = self._context.clock.now_ms() + RETRY_MS

    async def _follow(self, order, controller):
        """Begin an order's move, or tell the operators where it stands.

        Failure: a host becomes home just after the end of a move, and knows what the
        home before announced a moment earlier. Operators who were told of the end are
        told that the move is under way. So the store is read before the first telling.
        """
        if not self._has_told(order) and not await self._read(order.pool, controller):
            return
        row = controller.row
        if row is None or row.move_id != order.order_id:
            row = await self._begin(order)
        if row is None:
            return
        in_flight = 0
        home = self._context.homes.find(order.pool)
        if home is not None:
            in_flight = home.scheduler.in_flight_at(row.from_version)
        await self._tell(order, order_state(row, in_flight))

    def _has_told(self, order):
        told_id, _ = self._told.get(order.pool, ("", None))
        return told_id == order.order_id

    async def _begin(self, order):
        """Begin the move of an order; return its row, or None while it has to wait."""
        versions = self._versions(order.pool)
        former = source_version(order, versions)
        if not versions[order.to_version]:
            return None
        if not former:
            await self._tell(order, OrderState.COMPLETED)
            return None
        return await self._update_row(
            order.pool, lambda row: self._started(row, order, former)
        )

    def _started(self, row, order, former):
        """Return the row of an order's move, in the place of the row there is."""
        if row is not None and row.move_id != order.order_id:
            if row.state is MoveState.RUNNING:
                reason = f"replaced by order {order.order_id}"
                row = cancel_move(row, row.move_id, reason, AUTHOR)
            if row.serving_version != former:
                # Upstreams were replaced without a move since.
                row = None
        now_ms = self._fleet_time_ms()
        waited_ms = self._context.clock.now_ms() - self._received_ms[order.pool]
        left_ms = max(1, int(MOVED_FRACTION * order.duration_ms) - waited_ms)
        request = MoveRequest(
            move_id=order.order_id,
            pool=order.pool,
            from_version=former,
            to_version=order.to_version,
            moved_by_unix_ms=now_ms + left_ms,
            reason="ordered by an operator",
            author=AUTHOR,
        )
        return start_move(row, request, now_ms)

    async def _tell(self, order, state):
        """Tell the operators where an order stands, once for each state."""
        told = (order.order_id, state)
        if self._told.get(order.pool) == told:
            return
        platform = self._context.platform
        try:
            await platform.store.commit((platform.order_status(order, state),))
        except StoreConflict as error:
            raise PlatformError(error.message) from error
        self._told[order.pool] = told
        _log.info("move_told", pool=order.pool, order=order.order_id, state=state.value)
