"""Receiving from peers: one task for each connection that a peer has opened."""

import asyncio

from hemlockhoist.base import PeerError, get_logger
from hemlockhoist.listeners import Acceptor
from hemlockhoist.peers.frames import FrameReader

_log = get_logger("peers.listener")

READ_BYTES = 65_536


class PeerListener:
    """Accepts connections of peers and passes their frames to a handler.

    Parameters
    ==========
    address : str
        ``IP:port``; with port 0 a free port is chosen, see ``address`` after ``start``.
    on_frame : callable
        ``on_frame(frame)``; must neither block nor raise.
    on_rejected : callable
        ``on_rejected(error)`` is called with a ``PeerError`` if a connection is closed
        because of malformed input.
    """

    __slots__ = ("_acceptor", "_on_frame", "_on_rejected", "_tasks", "address")

    def __init__(self, address, on_frame, on_rejected):
        self._on_frame = on_frame
        self._on_rejected = on_rejected
        self._acceptor = None
        self._tasks = set()
        self.address = address

    async def start(self):
        """Start listening for peers."""
        self._acceptor = Acceptor("peers", self._make_protocol, self.address)
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

    async def _serve(self, reader, writer):
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            await self._read(reader)
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
            writer.close()

    async def _read(self, reader):
        frames = FrameReader()
        while data := await reader.read(READ_BYTES):
            for frame in frames.feed(data):
                self._on_frame(frame)
