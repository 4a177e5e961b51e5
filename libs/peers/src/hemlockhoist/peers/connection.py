"""Connection on which a host sends to one peer."""

import asyncio

from hemlockhoist.peers.frames import encode_frame


class Connection(asyncio.Protocol):
    """Writes frames, and reports the end of the connection.

    Nothing is received on it: a peer replies on its own connection.

    Parameters
    ==========
    on_lost : callable
        ``on_lost(connection)`` is called once, when the connection has ended.
    """

    __slots__ = ("_on_lost", "_transport", "_writable")

    def __init__(self, on_lost):
        self._on_lost = on_lost
        self._transport = None
        self._writable = asyncio.Event()
        self._writable.set()

    def connection_made(self, transport):
        """Store the transport."""
        self._transport = transport

    def connection_lost(self, error):
        """Report the end and wake waiting writers, which find the connection closed."""
        self._writable.set()
        self._on_lost(self)

    def pause_writing(self):
        """Make writers wait while the write buffer is full."""
        self._writable.clear()

    def resume_writing(self):
        """Wake waiting writers."""
        self._writable.set()

    @property
    def is_closing(self):
        """Whether the connection is closed or closing, so that nothing can be sent."""
        return self._transport.is_closing()

    @property
    def unsent_bytes(self):
        """Number of bytes in this process's write buffer."""
        return self._transport.get_write_buffer_size()

    def write(self, frame):
        """Write a frame without waiting."""
        self._transport.write(encode_frame(frame))

    async def wait_writable(self):
        """Wait until the write buffer has space."""
        await self._writable.wait()

    def close(self):
        """Close the connection after sending the write buffer."""
        self._transport.close()

    def abort(self):
        """Close the connection at once."""
        self._transport.abort()
