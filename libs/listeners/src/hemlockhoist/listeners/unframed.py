"""Responses of which only the end of their connection says that they have ended."""

import socket
import struct

from aiohttp import web

from hemlockhoist.listeners.opaque_headers import OpaqueHeaders

_LINGER = struct.Struct("ii")


class UnframedResponse(OpaqueHeaders, web.StreamResponse):
    """A response with neither a length nor chunks, which closes its connection.

    It is for an answer whose own end is uncertain: a length or a last chunk would
    state that it is whole.

    Parameters
    ==========
    status : int
    body : bytes, optional
        What is written at its end.

    Attributes
    ==========
    body_bytes : int
        Size of the body that has not been written.
    """

    # Otherwise the HTTP library sends chunks.
    _length_check = False

    def __init__(self, status, body=b""):
        super().__init__(status=status)
        self._rest = body
        self.force_close()

    @property
    def body_bytes(self):
        """Size of the body that has not been written."""
        return len(self._rest)

    async def write_eof(self, data=b""):
        """Write the body, and drop it."""
        rest, self._rest = self._rest, b""
        await super().write_eof(rest or data)


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
