"""Callers that open connections to a host and send no whole request."""

import asyncio
import enum

from hemlockhoist.standins.published.soak.callers import now_s

CROWD_SIZE = 150
TRICKLE_GAP_S = 0.1
_HEAD = b"GET /check-free/1 HTTP/1.1\r\nHost: halls.example\r\nX-Filler: " + b"x" * 999


class CrowdKind(enum.Enum):
    """What the callers of a crowd send."""

    SILENT = "nothing"
    BEGUN = "the begin of a head"
    TRICKLE = "a head, a byte at a time"


class Crowd:
    """A number of connections to one host.

    Parameters
    ==========
    address : str
        ``IP:port`` for callers.
    kind : CrowdKind
    """

    def __init__(self, address, kind):
        self._address = address
        self._kind = kind
        self._tasks = []

    async def stay(self, seconds):
        """Open the connections, and close them after some time."""
        end_s = now_s() + seconds
        self._tasks = [
            asyncio.create_task(self._connect(end_s)) for _ in range(CROWD_SIZE)
        ]
        await asyncio.gather(*self._tasks)

    async def _connect(self, end_s):
        ip, _, port = self._address.rpartition(":")
        try:
            async with asyncio.timeout(end_s - now_s()):
                reader, writer = await asyncio.open_connection(ip, int(port))
        except (OSError, TimeoutError):
            return
        try:
            async with asyncio.timeout(end_s - now_s()):
                await self._send(reader, writer)
        except (OSError, TimeoutError):
            pass
        finally:
            writer.transport.abort()

    async def _send(self, reader, writer):
        """Send what the crowd sends, until the host closes the connection."""
        if self._kind is CrowdKind.BEGUN:
            writer.write(_HEAD)
        if self._kind is CrowdKind.TRICKLE:
            for byte in _HEAD:
                writer.write(bytes([byte]))
                await writer.drain()
                await asyncio.sleep(TRICKLE_GAP_S)
        await reader.read()
