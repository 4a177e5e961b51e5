"""Reports on the states of operators' orders, written to the store."""

import msgspec

from hemlockhoist.base import PlatformError, StoreConflict, get_logger
from hemlockhoist.decisions.entry import MoveOrderState

_log = get_logger("entry.moves")

_FINAL_STATES = frozenset({MoveOrderState.COMPLETED, MoveOrderState.ROLLED_BACK})


class OrderReports:
    """Writes the state of each pool's order, once for each state.

    A report replaces the row that was read just before it, and no other. Failure
    prevented: a call without an answer is carried out seconds later, and tells that an
    order is in progress after another host has reported its end.

    Parameters
    ==========
    context : EntryContext
    """

    __slots__ = ("_context", "_reported")

    def __init__(self, context):
        self._context = context
        self._reported = {}

    def has_reported(self, order):
        """Return whether this host has reported a state of an order."""
        reported_id, _ = self._reported.get(order.pool, ("", None))
        return reported_id == order.order_id

    def has_ended(self, order):
        """Return whether this host has reported the end of an order."""
        _, state = self._reported.get(order.pool, ("", None))
        return self.has_reported(order) and state in _FINAL_STATES

    async def report(self, order, state, is_over):
        """Report an order's state to the operators unless this host has done so.

        Nothing is reported after the end, by this home or the next. Failure prevented:
        versions are released after an order has ended, and operators stop or drain them
        on a second report of that end.

        Parameters
        ==========
        order : MoveOrder
        state : MoveOrderState
        is_over : bool
            Whether the order's move has ended.

        Raises
        ======
        PlatformError
            If the report may not have been written. The order's row is to be read again
            before the next report: another host may have ended its move.
        """
        if self.has_ended(order) or self._reported.get(order.pool) == (
            order.order_id,
            state,
        ):
            return
        # Whatever comes of the call, the next one has to begin with what is stored.
        self._reported.pop(order.pool, None)
        try:
            state = await self._write(order, state, is_over)
        except StoreConflict as error:
            raise PlatformError(error.message) from error
        self._reported[order.pool] = (order.order_id, state)
        _log.info("move_told", pool=order.pool, order=order.order_id, state=state.value)

    async def _write(self, order, state, is_over):
        """Write a state, and return the one that is stored then."""
        platform = self._context.platform
        change = platform.order_status(order, state)
        reading = await platform.store.read_table(change.table)
        rows = {row.key: row for row in reading.rows if row.value is not None}
        stored = rows.get(change.key)
        ended = self._stored_end(order, stored) if is_over else None
        if ended is not None:
            return ended
        version = 0 if stored is None else stored.version
        change = msgspec.structs.replace(change, if_version=version)
        await platform.store.commit((change,))
        return state

    def _stored_end(self, order, stored):
        """Return the end of an order that a row of the store reports, or None."""
        if stored is None:
            return None
        for state in _FINAL_STATES:
            if self._context.platform.order_status(order, state).value == stored.value:
                return state
        return None
