"""The connections of callers on an entry host: room for new ones, and closing idle."""

from hemlockhoist.base import PeriodicTask, Refused, ResultCode, get_logger
from hemlockhoist.base.metrics_table import (
    ACCEPT_ERRORS,
    CALLERS_ACCEPTED,
    CALLERS_CLOSED,
)
from hemlockhoist.decisions.entry import ConnectionTable, caller_limit
from hemlockhoist.listeners import descriptor_limit

_log = get_logger("entry.connections")

SWEEP_INTERVAL_MS = 250
# Retry-After of a request on a connection beyond the limit: other hosts have room, and
# requests of this one end meanwhile.
RETRY_AFTER_MS = 500
_FOR_ROOM, _EXPIRED = "room", "expired"


class CallerConnections:
    """Applies a ``ConnectionTable`` to the connections of callers.

    Parameters
    ==========
    context : EntryContext

    Attributes
    ==========
    is_full : bool
        Whether this host can't take a new caller.
    """

    __slots__ = ("_context", "_max_descriptors", "_sweeps", "_table", "is_full")

    def __init__(self, context):
        self._context = context
        self._max_descriptors = descriptor_limit(context.settings.max_descriptors)
        self._table = ConnectionTable(caller_limit(self._max_descriptors, 0))
        self._sweeps = PeriodicTask(SWEEP_INTERVAL_MS, self._sweep)
        self.is_full = False

    async def start(self):
        """Start to close what has been idle for long enough."""
        await self._sweeps.start()

    async def close(self):
        """Stop closing connections."""
        await self._sweeps.close()

    @property
    def count(self):
        """Number of open connections."""
        return len(self._table)

    @property
    def limit(self):
        """How many connections callers may hold; 0 for no limit."""
        return self._table.limit

    def may_accept(self, pending=0):
        """Return whether one more connection may be accepted, if only to be refused.

        Parameters
        ==========
        pending : int, optional
            Connections that are being set up.
        """
        table = self._table
        if table.may_accept(pending):
            return True
        self._drop_ended()
        if table.may_accept(pending) or self._close_one():
            return True
        self._update_full()
        return False

    def _close_one(self):
        """Close an idle connection to make room; return whether there was one."""
        key = self._table.to_close_for_room(self._context.clock.now_ms())
        if key is not None:
            self._close(key, _FOR_ROOM)
        return key is not None

    def on_accepted(self, transport):
        """Add a connection that was accepted, for which an idle one may have to go."""
        table, peer = self._table, transport.get_extra_info("peername")
        self._context.metrics.count(CALLERS_ACCEPTED)
        if transport.is_closing():
            # The caller has left already.
            return
        table.add(transport, peer[0] if peer else "", self._context.clock.now_ms())
        if not table.is_over_limit:
            return
        self._drop_ended()
        if table.is_over_limit and not self._close_one():
            table.mark_beyond_limit(transport)
            self._update_full()

    def on_accept_error(self, name):
        """Count an error of ``accept``."""
        self._context.metrics.count(ACCEPT_ERRORS, name)

    def on_request(self, transport):
        """Record that a request has come on a connection."""
        self._table.on_request(transport)

    def on_response(self, transport):
        """Record that a request has ended."""
        self._table.on_response(transport, self._context.clock.now_ms())

    def check_room(self, transport):
        """Refuse a request on a connection that was accepted beyond the limit.

        Raises
        ======
        Refused
        """
        if self._table.refuses(transport):
            raise Refused("", ResultCode.CONNECTIONS_FULL, RETRY_AFTER_MS)

    def _sweep(self):
        self._drop_ended()
        peer_count = len(self._context.bus.peers())
        self._table.limit = caller_limit(self._max_descriptors, peer_count)
        for key in self._table.to_close(self._context.clock.now_ms()):
            self._close(key, _EXPIRED)
        self._update_full()

    def _drop_ended(self):
        for transport in self._table:
            if transport.is_closing():
                self._table.remove(transport)

    def _close(self, transport, cause):
        transport.close()
        self._table.remove(transport)
        self._context.metrics.count(CALLERS_CLOSED, cause)

    def _update_full(self):
        is_full = self._table.is_full(self.is_full)
        if is_full == self.is_full:
            return
        self.is_full = is_full
        self._context.fleet.announce_full(is_full)
        event = "connections_full" if is_full else "connections_have_room"
        _log.warning(
            event,
            open=len(self._table),
            busy=self._table.busy_count,
            limit=self._table.limit,
        )
