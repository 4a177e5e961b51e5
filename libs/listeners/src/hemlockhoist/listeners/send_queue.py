"""What a connection has sent and the other side has not received."""

import fcntl
import struct
import termios

_INT = struct.Struct("i")


def queued_bytes(transport):
    """Return the bytes in a socket's send queue that are not acknowledged yet."""
    sock = transport.get_extra_info("socket")
    try:
        packed = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, _INT.pack(0))
    except (AttributeError, OSError):
        # The connection has just been lost.
        return 0
    return _INT.unpack(packed)[0]


class UnreadOutput:
    """How long a client has taken nothing of what was sent to it.

    What it has not taken may also become more as it reads: the server waits for that.
    So it has taken nothing only if that stays the same.
    """

    __slots__ = ("_since_ms", "_size")

    def __init__(self):
        self._size = 0
        self._since_ms = 0

    def untaken_ms(self, transport, now_ms):
        """Return for how long nothing was taken, or None if nothing is buffered.

        Parameters
        ==========
        transport : asyncio.Transport
        now_ms : int
        """
        size = transport.get_write_buffer_size()
        if not size:
            self._size = 0
            return None
        # The kernel takes further bytes only once much of its own buffer is free.
        size += queued_bytes(transport)
        if size != self._size:
            self._size, self._since_ms = size, now_ms
        return now_ms - self._since_ms
