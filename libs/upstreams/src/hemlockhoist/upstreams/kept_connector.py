"""A connector that keeps idle connections, under rules of its own."""

import contextvars
import select
import socket

import msgspec

from hemlockhoist.base import MS_PER_S, get_logger
from hemlockhoist.base.metrics_table import (
    CONNECTIONS_LOST,
    CONNECTIONS_MADE,
    CONNECTIONS_REUSED,
)
from hemlockhoist.upstreams.connections import (
    DirectConnector,
    ResetDetectingHandler,
    dispatch_guard,
)
from hemlockhoist.upstreams.keep_alive import ResponseExtent

_log = get_logger("upstreams.kept")

# A request on a kept connection whose upstream does not acknowledge it for so long is
# lost, as if no new connection could be made. It may be repeated elsewhere.
UNACKNOWLEDGED_MS = 1_000
# The ids of all requests of a connection are remembered, some 100 bytes each.
MAX_REQUESTS = 64


class ConnectionUse(msgspec.Struct):
    """What a dispatch may do with connections, and did.

    Parameters
    ==========
    pool, upstream_id, address, request_id : str
    may_reuse : bool
        Whether the request may be repeated, and so use a kept connection.
    may_keep : bool
        Whether its connection may be kept afterwards.
    extent : ResponseExtent
    on_reused : callable
        Called without arguments if a kept connection is used.
    is_reused : bool
    has_foreign_end : bool
        Whether the answer on a kept connection ended before all of its bytes.
    """

    pool: str
    upstream_id: str
    address: str
    request_id: str
    may_reuse: bool
    may_keep: bool
    extent: ResponseExtent
    on_reused: object
    is_reused: bool = False
    has_foreign_end: bool = False


# The use of the dispatch that opens a connection in this task; None if it must neither
# use a kept connection nor leave one.
connection_use = contextvars.ContextVar("connection_use", default=None)


class _KeptHandler(ResetDetectingHandler):
    """Counts what arrives in a response, and ends when bytes arrive while it is idle."""

    def __init__(self, connector, loop):
        super().__init__(loop)
        self._connector = connector
        self._is_limited = False
        self.use = None
        self.upstream_id = self.address = ""
        self.request_ids = set()
        self.idle_timer = None

    @property
    def is_idle(self):
        """Whether the connection is kept and carries no request."""
        return self.idle_timer is not None

    def limit_unacknowledged(self):
        """Let the connection end if what is sent on it is not acknowledged soon."""
        if not self._is_limited:
            self._is_limited = True
            sock = self.transport.get_extra_info("socket")
            option = (socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS)
            sock.setsockopt(socket.IPPROTO_TCP, *option)

    def data_received(self, data):
        """Handle bytes; any that arrive while idle end the connection."""
        if self.is_idle:
            # The library calls this without data as it resumes a paused reading.
            if data:
                self._connector.on_idle_bytes(self, len(data))
            return
        use = self.use
        if use is not None:
            use.extent.add(data)
        super().data_received(data)
        if use is not None and use.is_reused:
            self._check_end(use)

    def _check_end(self, use):
        body = self._body
        if body is not None and body.is_eof():
            is_readable = self._exception is None
            use.has_foreign_end = use.extent.has_foreign_end(is_readable)
            if use.has_foreign_end:
                self._connector.suspend(
                    use.upstream_id, use.address, "bytes of another answer"
                )

    def feed_data(self, data, size=0):
        """Handle the head of a message."""
        if self.is_idle:
            self._connector.on_idle_bytes(self, size)
            return
        message, _ = data
        if self.use is not None:
            is_last = message.should_close
            self.use.extent.add_head(message.code, message.headers, is_last)
        super().feed_data(data, size)

    def connection_lost(self, exc):
        """Handle the end of the connection."""
        if self.is_idle:
            self._connector.on_idle_end(self)
        super().connection_lost(exc)


class KeepingConnector(DirectConnector):
    """Makes connections, and keeps those that a response left in order.

    The HTTP library's own pool is never filled: it would hand out a connection without
    the check of the grant. Here a kept connection is returned in place of a new one,
    after the same check, so that a repeat by the library meets it too.

    Parameters
    ==========
    kept : KeptConnections
    count : callable
        ``count(metric, label)``.
    """

    def __init__(self, kept, count):
        super().__init__(lambda loop: _KeptHandler(self, loop), limit=0)
        self.kept = kept
        self._count = count

    def now_ms(self):
        """Return the time of the event loop."""
        return int(self._loop.time() * MS_PER_S)

    async def _create_connection(self, req, traces, timeout):
        use, guard = connection_use.get(), dispatch_guard.get()
        if use is None:
            return await super()._create_connection(req, traces, timeout)
        protocol = self._take(use) if use.may_reuse and not guard.dispatched else None
        if protocol is None:
            protocol = await super()._create_connection(req, traces, timeout)
            self._count(CONNECTIONS_MADE, use.pool)
        else:
            try:
                guard.begin_dispatch()
            except BaseException:
                protocol.transport.abort()
                raise
            use.is_reused = True
            self._count(CONNECTIONS_REUSED, use.pool)
            use.on_reused()
        protocol.use = use
        protocol.upstream_id, protocol.address = use.upstream_id, use.address
        protocol.request_ids.add(use.request_id)
        return protocol

    def _take(self, use):
        """Return a kept connection that is still open, or None.

        One that carried a request of the same id is closed: a late answer to that one,
        such as an earlier attempt, could not be told from the answer to this one.
        """
        now_ms = self.now_ms()
        while True:
            protocol = self.kept.take(use.upstream_id, use.address, now_ms)
            if protocol is None:
                return None
            _stop_timer(protocol)
            is_known = use.request_id in protocol.request_ids
            if not is_known and _is_usable(protocol):
                protocol.limit_unacknowledged()
                return protocol
            protocol.close()

    def _release(self, key, protocol, *, should_close=False):
        idle_ms = 0
        if not should_close and not protocol.should_close and not self.closed:
            idle_ms = self._reusable_ms(protocol)
        if not idle_ms:
            super()._release(key, protocol, should_close=True)
            return
        self._release_acquired(key, protocol)
        use, protocol.use = protocol.use, None
        # Otherwise the library would start the read time-out when the rest of a large
        # response is taken from its buffer, and it would end a later request.
        protocol.read_timeout = None
        timer = self._loop.call_later(idle_ms / MS_PER_S, self._on_idle_timeout)
        protocol.idle_timer = timer
        until_ms = self.now_ms() + idle_ms
        self.kept.keep(protocol, use.pool, use.upstream_id, use.address, until_ms)

    def _reusable_ms(self, protocol):
        use, transport = protocol.use, protocol.transport
        if use is None or not use.may_keep or transport is None:
            return 0
        if len(protocol.request_ids) >= MAX_REQUESTS:
            return 0
        if self.kept.is_suspended(use.upstream_id, use.address, self.now_ms()):
            return 0
        if transport.is_closing() or transport.get_write_buffer_size():
            return 0
        return use.extent.reusable_ms()

    def _on_idle_timeout(self):
        self.kept.expire(self.now_ms())

    def suspend(self, upstream_id, address, reason):
        """Keep no connection for a while to an upstream whose answers may be mixed."""
        now_ms = self.now_ms()
        if not self.kept.is_suspended(upstream_id, address, now_ms):
            _log.warning("reuse_suspended", upstream=upstream_id, reason=reason)
        self.kept.suspend(upstream_id, address, now_ms)

    def on_idle_bytes(self, protocol, byte_count):
        """Close a connection on which bytes arrived that belong to no request."""
        _stop_timer(protocol)
        self.kept.remove(protocol)
        self._count(CONNECTIONS_LOST, "bytes")
        upstream_id = protocol.upstream_id
        _log.warning(
            "idle_connection_bytes", byte_count=byte_count, upstream=upstream_id
        )
        self.suspend(upstream_id, protocol.address, "bytes on an idle connection")
        protocol.abort()

    def on_idle_end(self, protocol):
        """Forget a connection that ended while it was idle."""
        _stop_timer(protocol)
        if self.kept.remove(protocol):
            self._count(CONNECTIONS_LOST, "closed")

    def count_lost_request(self, use, request_id, reason):
        """Count and log a request that got no response on a kept connection."""
        self._count(CONNECTIONS_LOST, "request")
        _log.info(
            "kept_connection_lost",
            pool=use.pool,
            upstream=use.upstream_id,
            request=request_id,
            reason=reason,
        )

    async def close(self, **options):
        """Close all connections."""
        self.kept.close()
        await super().close(**options)


def _stop_timer(protocol):
    if protocol.idle_timer is not None:
        protocol.idle_timer.cancel()
        protocol.idle_timer = None


def _is_usable(protocol):
    """Return whether a kept connection is still open and in order."""
    if protocol.should_close or not protocol.is_connected():
        return False
    return not _has_input(protocol.transport)


def _has_input(transport):
    """Return whether bytes or an end have arrived that the event loop has not handled."""
    poll = select.poll()
    sock = transport.get_extra_info("socket")
    poll.register(sock.fileno(), select.POLLIN | select.POLLRDHUP)
    return bool(poll.poll(0))
