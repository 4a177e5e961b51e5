"""The connection by which a host sends to one peer."""

import asyncio

from hemlockhoist.peers.frames import encode_frame


class Connection(asyncio.Protocol):
    """Writes frames, and tells when the connection has ended.

    Nothing is ever received on it: a peer answers on its own connection.

    Parameters
    ==========
    on_lost : callable
        ``on_lost(connection)`` is called once, when it has ended.
    """

    __slots__ = ("_on_lost", "_transport", "_writable")

    def __init__(self, on_lost):
        self._on_lost = on_lost
        self._transport = None
        self._writable = asyncio.Event()
        self._writable.set()

    def connection_made(self, transport):
        """Keep the transport."""
        self._transport = transport

    def connection_lost(self, error):
        """Tell the end; whoever waits to write finds the connection closed."""
        self._writable.set()
        self._on_lost(self)

    def pause_writing(self):
        """Let writers wait: the peer takes nothing at present."""
        self._writable.clear()

    def resume_writing(self):
        """Let writers go on."""
        self._writable.set()

    @property
    def is_closing(self):
        """Whether nothing more can be sent."""
        return self._transport.is_closing()

    @property
    def unsent_bytes(self):
        """What the peer's side has not taken yet, as far as this process knows."""
        return self._transport.get_write_buffer_size()

    def write(self, frame):
        """Send a frame, without waiting."""
        self._transport.write(encode_frame(frame))

    async def wait_writable(self):
        """Wait until the peer takes more."""
        await self._writable.wait()

    def close(self):
        """Send what was written, and end."""
        self._transport.close()

    def abort(self):
        """End at once."""
        self._transport.abort()
