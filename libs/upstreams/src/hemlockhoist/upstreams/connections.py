"""Connectors that detect dead peers, and responses that end with a reset."""

import contextvars
import functools
import os
import socket

import aiohttp
from aiohttp.client_proto import ResponseHandler

from hemlockhoist.base import MS_PER_S, io_timeout
from hemlockhoist.upstreams.bounds import BoundedHandler

# A machine that lost power or is behind a network partition does not answer, and a
# connection to it hangs while the kernel retransmits, for many minutes. With these
# options the connection ends within about three seconds, sending or idle: where the
# user timeout is set, it also decides when the keep-alive probes give up, and their
# count has no effect. They are not used for connections to upstreams: a response
# delayed by a short partition still arrives, and may be the only one there is.
TCP_USER_TIMEOUT_MS = 3_000
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1


# The guard of the dispatch that opens a connection in this task; None for requests that
# are no dispatches.
dispatch_guard = contextvars.ContextVar("dispatch_guard", default=None)


def enable_tcp_keepalive(sock):
    """Set the socket options that end a connection whose peer does not answer."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)


class ResetDetectingHandler(BoundedHandler):
    """Reports a response as broken off if its connection was reset, or closed here.

    A response without a length ends with its connection. The HTTP library treats a
    reset as such an end too, and a caller would receive a part of a response that
    looks complete. Here the body's reader gets an error before the library marks the
    end of the body.

    The event loop also hides some resets: if one arrives together with the last data,
    libuv reports an orderly end. The socket still holds the error then.

    The library also takes its own closing of the connection for the end of such a
    body. Failure prevented: a host that stops closes its connections to upstreams, and
    ends the answers that it relays for other hosts in order.
    """

    def close(self):
        """Close the connection; a body that has not ended breaks off."""
        self._break_off("closed by this host")
        super().close()

    def abort(self):
        """Close the connection at once; a body that has not ended breaks off."""
        self._break_off("closed by this host")
        super().abort()

    def connection_lost(self, exc):
        """Handle the end of the connection; ``exc`` is None for an orderly one."""
        if self._has_unended_body:
            exc = exc or _pending_error(self.transport)
            if exc is not None:
                self._break_off(repr(exc))
        super().connection_lost(exc)

    @property
    def _has_unended_body(self):
        return self._payload is not None and not self._payload.is_eof()

    def _break_off(self, reason):
        if self._has_unended_body:
            error = aiohttp.ClientPayloadError(f"connection lost: {reason}")
            self._payload.set_exception(error)


def _pending_error(transport):
    """Return the pending error of a connection's socket, or None."""
    sock = transport.get_extra_info("socket") if transport is not None else None
    if sock is None:
        return None
    code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    return OSError(code, os.strerror(code)) if code else None


class DirectConnector(aiohttp.BaseConnector):
    """Connects to ``IP:port`` addresses, without DNS and without TLS.

    It guards against the reuse of a file descriptor that is still in use. The HTTP
    library's own connector hands a connected socket to the event loop. If a caller
    disconnects or a timeout expires at that moment, the library closes the socket,
    while the event loop still owns its descriptor. Every later connection that is given
    that descriptor fails for as long as the process runs, or the loop ends the process.
    Here the event loop makes the connection itself, and cleans up a cancelled one.

    Parameters
    ==========
    protocol : type, optional
        Protocol class of the connections.
    tcp_keepalive : bool, optional
        Whether a connection whose peer does not answer is closed.
    options
        Those of ``aiohttp.BaseConnector``.
    """

    def __init__(self, protocol=ResponseHandler, tcp_keepalive=False, **options):
        super().__init__(**options)
        # The library has no public interface to set the protocol class.
        self._factory = functools.partial(protocol, loop=self._loop)
        self._tcp_keepalive = tcp_keepalive

    async def open(self, factory, ip, port):
        """Open a TCP connection; return its transport and protocol.

        Parameters
        ==========
        factory : callable
            Returns the protocol of the connection.
        ip : str
        port : int
        """
        return await self._loop.create_connection(factory, ip, port)

    async def _create_connection(self, req, traces, timeout):
        try:
            async with io_timeout(timeout.sock_connect * MS_PER_S):
                transport, protocol = await self.open(
                    self._factory, req.url.host, req.url.port
                )
        except TimeoutError as error:
            text = f"connection to {req.url.host}:{req.url.port} timed out"
            raise aiohttp.ConnectionTimeoutError(text) from error
        except OSError as error:
            raise aiohttp.ClientConnectorError(req.connection_key, error) from error
        if self._tcp_keepalive:
            enable_tcp_keepalive(transport.get_extra_info("socket"))
        await _check_guard(transport)
        return protocol


async def _check_guard(transport):
    """Check the grant on a new connection, before the library writes to it.

    The library writes the request head in the next step without waiting for I/O, so
    only a suspension of the whole process can come between the check and the first
    byte. The library does not close a connection for which an error is raised here.
    """
    guard = dispatch_guard.get()
    if guard is None:
        return
    try:
        await guard.prepare()
        guard.begin_dispatch()
    except BaseException:
        transport.abort()
        raise


class ResetDetectingConnector(DirectConnector):
    """A connector whose connections report a response that ends with a reset."""

    def __init__(self, **options):
        super().__init__(ResetDetectingHandler, **options)
