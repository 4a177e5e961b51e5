"""The connections of one HTTP server: what they share, and which are cut off."""

import asyncio

from hemlockhoist.base import Clock, PeriodicTask, get_logger
from hemlockhoist.listeners.http_connection import (
    READ_BYTES,
    SHORT_READ_BYTES,
    HttpConnection,
)
from hemlockhoist.listeners.http_handler import BoundedRequestHandler
from hemlockhoist.listeners.request_reader import MAX_FIELDS

_log = get_logger("listeners.http")

CHECK_INTERVAL_MS = 250
# A client sends its first request as soon as it is connected. After this time, none is
# waited for any more.
FIRST_REQUEST_MS = 500
# A connection that has been accepted just now is not closed for another one.
MIN_IDLE_MS = 500
# Accepted, so that an idle one is closed only if there is another one.
# Of heads, where no memory of a process is given.
DEFAULT_MEMORY_BYTES = 16_777_216
MAX_BEYOND_LIMIT = 4
CODE_HEADER = "X-Result-Code"
# The library's own limits are behind those of ``RequestReader``.
_NO_LIMIT_BYTES = 1 << 30


class InputMemory:
    """The memory of heads that are being read or answered.

    Parameters
    ==========
    limit_bytes : int
    """

    __slots__ = ("_limit_bytes", "_used_bytes")

    def __init__(self, limit_bytes=DEFAULT_MEMORY_BYTES):
        self._limit_bytes = limit_bytes
        self._used_bytes = 0

    @property
    def is_short(self):
        """Whether little is left."""
        return 2 * self._used_bytes > self._limit_bytes

    def try_reserve(self, byte_count):
        """Reserve memory if there is enough; return whether there was."""
        if self._used_bytes + byte_count > self._limit_bytes:
            return False
        self._used_bytes += byte_count
        return True

    def release(self, byte_count):
        """Return reserved memory."""
        self._used_bytes -= byte_count


def code_headers(code):
    """Return the headers of an answer with a result code."""
    return {CODE_HEADER: str(int(code))}


class HttpConnections:
    """The open connections of one HTTP server.

    Parameters
    ==========
    name : str
        What the server is for, in log lines.
    server : aiohttp.web.Server
    limits : callable
        Returns the ``RequestLimits`` in force.
    options : dict, optional
        Parameters of the HTTP library for each connection.
    memory : object, optional
        Accounts heads, with the methods of ``InputMemory``.
    refusal_headers : callable, optional
        ``refusal_headers(code)`` returns the headers of an answer that the server
        does not give itself.
    max_connections : int, optional
        0 for no limit.
    on_cut : callable, optional
        ``on_cut(cause)`` is called with each connection that is refused or cut off.
    """

    __slots__ = (
        "_buffer",
        "_checks",
        "_clock",
        "_max_connections",
        "_name",
        "_on_cut",
        "_open",
        "_options",
        "_server",
        "_watched",
        "limits",
        "loop",
        "memory",
        "refusal_headers",
    )

    def __init__(
        self,
        name,
        server,
        limits,
        options=None,
        memory=None,
        refusal_headers=code_headers,
        max_connections=0,
        on_cut=lambda cause: None,
    ):
        self._name = name
        self._server = server
        self._options = options or {}
        self._max_connections = max_connections
        self._on_cut = on_cut
        self._clock = Clock.from_running_loop()
        self._buffer = memoryview(bytearray(READ_BYTES))
        self._checks = PeriodicTask(CHECK_INTERVAL_MS, self._check)
        # In the order in which they were opened.
        self._open = {}
        self._watched = set()
        self.limits = limits
        self.loop = asyncio.get_running_loop()
        self.memory = memory or InputMemory()
        self.refusal_headers = refusal_headers

    async def start(self):
        """Start to cut off what takes too long."""
        await self._checks.start()

    async def close(self):
        """Stop cutting off."""
        await self._checks.close()

    def now_ms(self):
        """Return the time of the process's clock."""
        return self._clock.now_ms()

    def new_connection(self):
        """Return the protocol of a new connection."""
        return HttpConnection(self)

    def make_handler(self, connection):
        """Return the server's side of a connection."""
        return BoundedRequestHandler(
            connection,
            self._server,
            loop=self.loop,
            max_line_size=_NO_LIMIT_BYTES,
            max_field_size=_NO_LIMIT_BYTES,
            # The parser in Python counts the request's line and the empty one as well.
            max_headers=MAX_FIELDS + 2,
            auto_decompress=False,
            **self._options,
        )

    @property
    def is_quiet(self):
        """Whether no request is being answered, has begun or is about to come."""
        since_ms = self.now_ms() - FIRST_REQUEST_MS
        return all(connection.is_quiet(since_ms) for connection in self._open)

    @property
    def read_bytes(self):
        """How much is received at a time."""
        return SHORT_READ_BYTES if self.memory.is_short else READ_BYTES

    def read_buffer(self):
        """Return the buffer that the next bytes are received in."""
        return self._buffer[: self.read_bytes]

    def received(self, byte_count):
        """Return a copy of the bytes that have just been received."""
        return bytes(self._buffer[:byte_count])

    def add(self, connection):
        """Add an open connection, for which an idle one may have to go."""
        self._open[connection] = None
        if self._max_connections and len(self._open) > self._max_connections:
            self._make_room()

    def remove(self, connection):
        """Remove a connection that has ended."""
        self._open.pop(connection, None)
        self._watched.discard(connection)

    def watch(self, connection):
        """Check a connection from time to time until it says that it needs no more."""
        self._watched.add(connection)

    def may_accept(self, pending=0):
        """Return whether one more connection may be accepted.

        Some beyond the limit are, and an idle one makes room for each.

        Parameters
        ==========
        pending : int, optional
            Connections that are being set up.
        """
        if not self._max_connections:
            return True
        if len(self._open) + pending < self._max_connections + MAX_BEYOND_LIMIT:
            return True
        self._make_room()
        return False

    def _make_room(self):
        """Close the connection that has been idle for longest, if there is one."""
        now_ms = self.now_ms()
        for connection in self._open:
            if not connection.is_busy and now_ms - connection.since_ms >= MIN_IDLE_MS:
                self.on_cut(connection, "room", 0)
                # It is told of its end a turn later, and makes room once only.
                self.remove(connection)
                connection.abort()
                return

    def on_cut(self, connection, cause, byte_count):
        """Record a connection that is refused or cut off."""
        self._on_cut(cause)
        _log.warning(
            "connection_cut",
            listener=self._name,
            cause=cause,
            received_bytes=byte_count,
            open=len(self._open),
        )

    def _check(self):
        now_ms = self.now_ms()
        for connection in tuple(self._watched):
            if not connection.check(now_ms):
                self._watched.discard(connection)
