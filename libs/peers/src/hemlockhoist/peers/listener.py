"""Receiving from peers: one task for each connection that a peer has opened."""

import asyncio

from hemlockhoist.base import Clock, PeerError, ResultCode, get_logger
from hemlockhoist.decisions.entry import unproven_limit
from hemlockhoist.listeners import Acceptor, descriptor_limit
from hemlockhoist.peers.frames import FrameReader

_log = get_logger("peers.listener")

READ_BYTES = 65_536
# A host sends its first frame as soon as it has connected. A connection without a valid
# one is closed for another one after this time.
MIN_UNPROVEN_MS = 500
# Frames that fail verification on a connection that no host has proved itself on.
MAX_REJECTED_FRAMES = 16
# Of all incomplete frames on such connections.
MAX_UNPROVEN_BYTES = 8_388_608
_ROOM = "no frame of a host came, and others wait"
_REJECTED = "no frame of a host came, only others"
_MEMORY = "incomplete frames on connections without a valid one"


class PeerConnection:
    """One connection that somebody has opened at the address for other hosts.

    Parameters
    ==========
    writer : asyncio.StreamWriter
    since_ms : int

    Attributes
    ==========
    is_proven : bool
        Whether a frame has come on it that only a host of the fleet can have sent.
    rejected_count : int
        Frames that were not such.
    held_bytes : int
        The begin of a frame that has not come whole.
    """

    __slots__ = ("held_bytes", "is_proven", "rejected_count", "since_ms", "writer")

    def __init__(self, writer, since_ms):
        self.writer = writer
        self.since_ms = since_ms
        self.is_proven = False
        self.rejected_count = 0
        self.held_bytes = 0


class PeerListener:
    """Accepts connections of peers and passes their frames to a handler.

    Load: anybody may connect to the address. Until a valid frame has come on a
    connection, it is one of few, holds little, and makes room for others; so strangers
    take neither descriptors nor memory from the hosts of the fleet.

    Parameters
    ==========
    address : str
        ``IP:port``; with port 0 a free port is chosen, see ``address`` after ``start``.
    on_frame : callable
        ``on_frame(frame)`` returns whether the frame is valid; must neither block nor
        raise.
    on_rejected : callable
        ``on_rejected(error)`` is called with a ``PeerError`` if a connection is closed
        because of malformed input.
    max_descriptors : int, optional
        What the process may open; 0 for its own limit.
    """

    __slots__ = (
        "_acceptor",
        "_connections",
        "_max_unproven",
        "_on_frame",
        "_on_rejected",
        "_tasks",
        "address",
    )

    def __init__(self, address, on_frame, on_rejected, max_descriptors=0):
        self._on_frame = on_frame
        self._on_rejected = on_rejected
        self._max_unproven = unproven_limit(descriptor_limit(max_descriptors))
        self._acceptor = None
        # Unproven connections, in the order in which they were opened.
        self._connections = {}
        self._tasks = set()
        self.address = address

    async def start(self):
        """Start listening for peers."""
        self._acceptor = Acceptor(
            "peers", self._make_protocol, self.address, room=self._may_accept
        )
        await self._acceptor.start()
        self.address = self._acceptor.address

    async def close(self):
        """Stop listening and close all connections."""
        if self._acceptor is not None:
            await self._acceptor.close()
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _make_protocol(self):
        reader = asyncio.StreamReader()
        return asyncio.StreamReaderProtocol(reader, self._serve)

    def _may_accept(self, pending):
        """Return whether there is room; an unproven connection may make room."""
        if len(self._connections) + pending < self._max_unproven:
            return True
        connection = next(iter(self._connections), None)
        if connection is None:
            return False
        if _now_ms() - connection.since_ms < MIN_UNPROVEN_MS:
            return False
        self._cut(connection, _ROOM)
        return True

    def _cut(self, connection, reason):
        """End a connection at once, so that its descriptor is free."""
        self._connections.pop(connection, None)
        _log.info("peer_connection_cut", reason=reason)
        connection.writer.transport.abort()

    async def _serve(self, reader, writer):
        task = asyncio.current_task()
        self._tasks.add(task)
        connection = PeerConnection(writer, _now_ms())
        self._connections[connection] = None
        try:
            await self._read(reader, connection)
        except PeerError as error:
            self._on_rejected(error)
        except OSError as error:
            # The peer's process or machine has failed, which probes detect.
            _log.info("peer_connection_lost", reason=str(error))
        except asyncio.CancelledError:
            # Only ``close`` cancels this task. If raised further, the exception would
            # be logged as an error by the callback of the stream.
            return
        finally:
            self._tasks.discard(task)
            self._connections.pop(connection, None)
            writer.close()

    async def _read(self, reader, connection):
        frames = FrameReader()
        while data := await reader.read(READ_BYTES):
            for frame in frames.feed(data):
                self._take(frame, connection)
            connection.held_bytes = frames.held_bytes
            if connection.held_bytes and not connection.is_proven:
                self._check_held()

    def _take(self, frame, connection):
        is_valid = self._on_frame(frame)
        if connection.is_proven:
            return
        if is_valid:
            connection.is_proven = True
            self._connections.pop(connection, None)
            return
        connection.rejected_count += 1
        if connection.rejected_count > MAX_REJECTED_FRAMES:
            raise PeerError(_REJECTED, ResultCode.PEER_UNAUTHENTIC)

    def _check_held(self):
        """Check the memory of unproven connections before this one reads on."""
        if sum(item.held_bytes for item in self._connections) > MAX_UNPROVEN_BYTES:
            raise PeerError(_MEMORY, ResultCode.PEER_UNAUTHENTIC)


def _now_ms():
    return Clock.from_running_loop().now_ms()
