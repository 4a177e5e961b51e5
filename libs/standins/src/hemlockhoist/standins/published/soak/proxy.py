"""A loopback proxy that injects faults into connections."""

import asyncio
import contextlib
import enum
import socket
import struct

from hemlockhoist.base import MS_PER_S
from hemlockhoist.standins.packet_filter import drop_packets

CHUNK_BYTES = 65_536
# With a linger time of 0 seconds, closing a socket sends a reset.
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
_CUT_CHECK_S = 0.01


class Mode(enum.Enum):
    """How the proxy treats the bytes of connections."""

    PASS = "pass"
    # Nothing is forwarded, while connections stay open and new ones are accepted.
    BLACKHOLE = "blackhole"
    # Requests are forwarded; answers are not.
    BLACKHOLE_REPLIES = "blackhole replies"
    REFUSE = "refuse"


class Cut(enum.Enum):
    """What a proxy keeps from one address that connects to it."""

    # Open connections are silent both ways, and new ones get no answer.
    ALL = "all"
    # Of open connections the requests arrive, but no answers; new ones get no answer.
    REPLIES = "replies"
    # Open connections live on.
    NEW = "new"


class Proxy:
    """Forwards connections to one address.

    Parameters
    ==========
    target : str
        ``IP:port``.

    Attributes
    ==========
    address : str
        Its listening address.
    mode : Mode
    delay_ms : int
        Delay of each chunk, in both directions.
    bytes_per_s : float or None
        Rate of the link that all connections share, in each direction; None for a link
        without a limit.
    """

    def __init__(self, target):
        self.target = target
        self.address = ""
        self.mode = Mode.PASS
        self.delay_ms = 0
        self.bytes_per_s = None
        # When the link is free again, by direction.
        self._free_s = {}
        # The cuts in force, as (IP, Cut), possibly several of the same kind.
        self._cuts = []
        # For each open connection to the target, the IP that it is forwarded for.
        self._senders = {}
        self._server = None
        self._writers = set()
        self._tasks = set()

    async def start(self):
        """Listen on a free loopback port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        ip, port = self._server.sockets[0].getsockname()
        self.address = f"{ip}:{port}"

    @property
    def is_listening(self):
        """Whether it accepts connections."""
        return self._server.is_serving()

    def stop_listening(self):
        """Refuse connections, and reset the open ones."""
        self._server.close()
        self.reset_all()

    async def listen_again(self):
        """Accept connections at the same address."""
        ip, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(self._serve, ip, int(port))
        self._apply_cuts()

    async def close(self):
        """Stop listening and end all connections."""
        self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self.reset_all()

    def heal(self):
        """Remove all faults; connections that were blocked stay blocked."""
        self.mode = Mode.PASS
        self.delay_ms = 0
        self.bytes_per_s = None
        self._cuts.clear()
        self._apply_cuts()

    def cut(self, ip, kind):
        """Cut an IP address off; what was lost is sent again once it is mended."""
        self._cuts.append((ip, kind))
        self._apply_cuts()

    def mend(self, ip, kind):
        """End one cut of an IP address."""
        if (ip, kind) in self._cuts:
            self._cuts.remove((ip, kind))
            self._apply_cuts()

    def is_cut(self, ip):
        """Return whether new connections of an IP address get no answer."""
        return any(ip == cut_ip for cut_ip, _ in self._cuts)

    def sender(self, port):
        """Return the IP whose requests come from a port of this proxy, or None."""
        return self._senders.get(port)

    def _apply_cuts(self):
        for sock in self._server.sockets:
            drop_packets(sock, {ip for ip, _ in self._cuts})
        silent = {ip for ip, kind in self._cuts if kind is Cut.ALL}
        for writer in self._writers:
            sock = writer.get_extra_info("socket")
            if sock is not None and not writer.is_closing():
                drop_packets(sock, silent & {_peer_ip(writer)})

    async def _wait_for_replies(self, ip):
        while (ip, Cut.REPLIES) in self._cuts:
            await asyncio.sleep(_CUT_CHECK_S)

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
            target_reader, target_writer = await asyncio.open_connection(ip, int(port))
        except OSError:
            self._writers.discard(writer)
            _reset(writer)
            return
        self._writers.add(target_writer)
        sender = _peer_ip(writer)
        self._senders[_own_port(target_writer)] = sender
        tasks = [
            asyncio.create_task(self._forward(reader, target_writer, Mode.BLACKHOLE)),
            asyncio.create_task(
                self._forward(target_reader, writer, Mode.BLACKHOLE_REPLIES, sender)
            ),
        ]
        self._tasks.update(tasks)
        await asyncio.gather(*tasks, return_exceptions=True)
        self._tasks.difference_update(tasks)
        for side in (writer, target_writer):
            self._writers.discard(side)
            side.close()

    async def _pass_link(self, size_bytes, direction):
        """Wait until the link has carried so many bytes after those before them."""
        if self.bytes_per_s is None:
            return
        now_s = asyncio.get_running_loop().time()
        begin_s = max(now_s, self._free_s.get(direction, 0))
        self._free_s[direction] = begin_s + size_bytes / self.bytes_per_s
        await asyncio.sleep(self._free_s[direction] - now_s)

    async def _forward(self, reader, writer, blocking_mode, replies_to=""):
        """Forward bytes in one direction until a side closes or the mode blocks."""
        try:
            while chunk := await reader.read(CHUNK_BYTES):
                if self.delay_ms:
                    await asyncio.sleep(self.delay_ms / MS_PER_S)
                await self._pass_link(len(chunk), blocking_mode)
                if self.mode in (Mode.BLACKHOLE, blocking_mode):
                    # Blocked permanently: bytes in transit during a cut are lost with
                    # their connection, which never closes by itself.
                    await asyncio.Event().wait()
                await self._wait_for_replies(replies_to)
                writer.write(chunk)
                await writer.drain()
            await self._wait_for_replies(replies_to)
            if writer.can_write_eof():
                writer.write_eof()
        except OSError:
            _reset(writer)


def _peer_ip(writer):
    address = writer.get_extra_info("peername")
    return address[0] if address else ""


def _own_port(writer):
    return writer.get_extra_info("sockname")[1]


def _reset(writer):
    sock = writer.get_extra_info("socket")
    # The peer may have closed the connection meanwhile.
    with contextlib.suppress(OSError):
        if sock is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
    writer.transport.abort()
