"""A loopback proxy whose connections go wrong as they are told."""

import asyncio
import contextlib
import enum
import socket
import struct

from hemlockhoist.base import MS_PER_S

CHUNK_BYTES = 65_536
# With a linger time of 0 seconds, closing a socket sends a reset.
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class Mode(enum.Enum):
    """What happens to bytes on the way."""

    PASS = "pass"
    # Nothing comes through and nobody is told, also on connections made meanwhile.
    BLACKHOLE = "silent"
    # Requests get there; answers do not come back.
    BLACKHOLE_REPLIES = "one way"
    REFUSE = "refuse"


class Proxy:
    """Passes connections on to one address.

    Parameters
    ==========
    target : str
        ``IP:port``.

    Attributes
    ==========
    address : str
        Where it listens.
    mode : Mode
    delay_ms : int
        Of each chunk, in both directions.
    """

    def __init__(self, target):
        self.target = target
        self.address = ""
        self.mode = Mode.PASS
        self.delay_ms = 0
        self._server = None
        self._writers = set()
        self._tasks = set()

    async def start(self):
        """Listen on a port of the kernel's choice."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        ip, port = self._server.sockets[0].getsockname()
        self.address = f"{ip}:{port}"

    async def close(self):
        """Stop listening and end all connections."""
        self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self.reset_all()

    def heal(self):
        """Pass everything on; what was silent for good stays so."""
        self.mode = Mode.PASS
        self.delay_ms = 0

    def reset_all(self):
        """Reset all open connections."""
        for writer in list(self._writers):
            _reset(writer)

    async def _serve(self, reader, writer):
        if self.mode is Mode.REFUSE:
            _reset(writer)
            return
        self._writers.add(writer)
        try:
            ip, _, port = self.target.rpartition(":")
            there_reader, there = await asyncio.open_connection(ip, int(port))
        except OSError:
            self._writers.discard(writer)
            _reset(writer)
            return
        self._writers.add(there)
        tasks = [
            asyncio.create_task(self._pump(reader, there, Mode.BLACKHOLE)),
            asyncio.create_task(
                self._pump(there_reader, writer, Mode.BLACKHOLE_REPLIES)
            ),
        ]
        self._tasks.update(tasks)
        await asyncio.gather(*tasks, return_exceptions=True)
        self._tasks.difference_update(tasks)
        for side in (writer, there):
            self._writers.discard(side)
            side.close()

    async def _pump(self, reader, writer, stopped_by):
        """Pass bytes on until either side ends, as the mode allows."""
        try:
            while chunk := await reader.read(CHUNK_BYTES):
                if self.delay_ms:
                    await asyncio.sleep(self.delay_ms / MS_PER_S)
                if self.mode in (Mode.BLACKHOLE, stopped_by):
                    # Held for good: what was under way in a cut is lost with its
                    # connection, which never ends by itself.
                    await asyncio.Event().wait()
                writer.write(chunk)
                await writer.drain()
            if writer.can_write_eof():
                writer.write_eof()
        except OSError:
            _reset(writer)


def _reset(writer):
    found = writer.get_extra_info("socket")
    # The other side may have closed it since.
    with contextlib.suppress(OSError):
        if found is not None:
            found.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
    writer.transport.abort()
