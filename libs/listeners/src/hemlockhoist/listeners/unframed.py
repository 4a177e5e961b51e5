"""Responses of which only the end of their connection says that they have ended."""

import asyncio
import socket
import struct

from aiohttp import web

from hemlockhoist.base import MS_PER_S
from hemlockhoist.listeners.opaque_headers import OpaqueHeaders

# There is no notice from the transport that its buffer is empty.
CHECK_INTERVAL_MS = 20
_LINGER = struct.Struct("ii")


class UnframedResponse(OpaqueHeaders, web.StreamResponse):
    """A response with neither a length nor chunks, which closes its connection.

    It is for an answer whose own end is uncertain: a length or a last chunk would
    state that it is whole. Until the kernel has all of it, the end of the connection is
    a reset, so that no break of this process looks like the end of the response.

    Parameters
    ==========
    status : int
    body : bytes, optional
        What is written at its end.
    ends_itself : bool, optional
        Whether ``write_eof`` waits until the kernel has all, and lets the connection
        end in order; if not, ``end_in_order`` has to be called.
    """

    # Otherwise the HTTP library sends chunks.
    _length_check = False

    def __init__(self, status, body=b"", ends_itself=True):
        super().__init__(status=status)
        self._rest = body
        self._ends_itself = ends_itself
        self._transport = None
        self.force_close()

    async def prepare(self, request):
        """Send the head."""
        if not self.prepared:
            self._transport = request.transport
            set_reset_on_close(self._transport, True)
        return await super().prepare(request)

    async def write_eof(self, data=b""):
        """Write the body, and drop it."""
        rest, self._rest = self._rest, b""
        await super().write_eof(rest or data)
        if self._ends_itself:
            await self._wait_flushed()
            self.end_in_order()

    def end_in_order(self):
        """Let the end of the connection be an orderly one, unless it is closing."""
        set_reset_on_close(self._transport, False)

    async def _wait_flushed(self):
        transport = self._transport
        while transport is not None and not transport.is_closing():
            if not transport.get_write_buffer_size():
                return
            await asyncio.sleep(CHECK_INTERVAL_MS / MS_PER_S)


def set_reset_on_close(transport, is_reset):
    """Set whether the end of a connection is a reset, also that by a killed process.

    Failure prevented: a host ends while it sends an unframed response, the kernel
    closes the connection in order, and the part that was sent looks whole.

    Parameters
    ==========
    transport : asyncio.Transport or None
    is_reset : bool
    """
    sock = transport.get_extra_info("socket") if transport is not None else None
    if sock is not None and not transport.is_closing():
        linger = _LINGER.pack(int(is_reset), 0)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
