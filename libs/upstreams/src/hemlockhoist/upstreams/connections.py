"""Connections that show when their other end is gone, and how an answer ended."""

import asyncio
import functools
import os
import socket

import aiohttp
from aiohttp.client_proto import ResponseHandler

# A machine without power, or behind a cut, answers nothing: a connection to it hangs
# for as long as the kernel repeats what was sent, which is many minutes. With these it
# ends within about three seconds, sending or idle. Not for connections to upstreams:
# an answer that a short cut held back still comes, and may be the only one there is.
TCP_USER_TIMEOUT_MS = 3_000
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2


def enable_tcp_keepalive(found):
    """Set the options that end a connection whose other end is silent."""
    found.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    found.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    found.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    found.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    found.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    found.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)


class _ExactEndHandler(ResponseHandler):
    """Reports an answer as broken when its connection was reset.

    Failure: an answer without a length ends with its connection. The HTTP library
    takes a reset for such an end too, and a caller gets a part of an answer that looks
    whole. Here the body's reader is failed before the library marks its end.

    The event loop hides some resets besides: where one arrives together with the last
    data, libuv reports an orderly end. The socket still holds the error then.
    """

    def connection_lost(self, exc):
        """Take the end of the connection; ``exc`` is None for an orderly one."""
        payload = self._payload
        if payload is not None and not payload.is_eof():
            exc = exc or _pending_error(self.transport)
            if exc is not None:
                error = aiohttp.ClientPayloadError(f"the connection was lost: {exc!r}")
                payload.set_exception(error)
        super().connection_lost(exc)


def _pending_error(transport):
    """Return the error that a connection's socket holds, or None."""
    found = transport.get_extra_info("socket") if transport is not None else None
    if found is None:
        return None
    number = found.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    return OSError(number, os.strerror(number)) if number else None


class DirectConnector(aiohttp.BaseConnector):
    """Connects to ``IP:port`` addresses, without names and without TLS.

    Failure: a caller leaves, or a time limit passes, in the moment in which a connection
    has been made and the HTTP library hands its socket to the event loop. The library
    closes the socket, of which the loop goes on to own the number. Every connection that
    is given that number from there on fails, for as long as the process runs, or the
    loop ends the process. Here the loop makes the connection itself, and a cancelled one
    is taken back by who owns it.

    Parameters
    ==========
    protocol : type, optional
        Of the connections.
    tcp_keepalive : bool, optional
        Whether a connection whose other end is silent ends by itself.
    options
        Those of ``aiohttp.BaseConnector``.
    """

    def __init__(self, protocol=ResponseHandler, tcp_keepalive=False, **options):
        super().__init__(**options)
        # The library has no public way to give a protocol of one's own.
        self._factory = functools.partial(protocol, loop=self._loop)
        self._is_guarded = tcp_keepalive

    async def _create_connection(self, req, traces, timeout):
        try:
            async with asyncio.timeout(timeout.sock_connect):
                transport, protocol = await self._loop.create_connection(
                    self._factory, req.url.host, req.url.port
                )
        except TimeoutError as error:
            text = f"no connection to {req.url.host}:{req.url.port} in time"
            raise aiohttp.ConnectionTimeoutError(text) from error
        except OSError as error:
            raise aiohttp.ClientConnectorError(req.connection_key, error) from error
        if self._is_guarded:
            enable_tcp_keepalive(transport.get_extra_info("socket"))
        return protocol


class ResetDetectingConnector(DirectConnector):
    """A connector whose connections report exactly how an answer ended."""

    def __init__(self, **options):
        super().__init__(_ExactEndHandler, **options)
