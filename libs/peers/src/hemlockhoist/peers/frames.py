"""Length-prefixed frames on a byte stream."""

import struct

from hemlockhoist.base import PeerError, ResultCode
from hemlockhoist.messages import MAX_FRAME_BYTES

_LENGTH = struct.Struct(">I")


def encode_frame(frame):
    """Return a frame with its length prefix.

    Examples
    ========
    >>> from hemlockhoist.peers.frames import encode_frame
    >>> encode_frame(b"ab")
    b'\\x00\\x00\\x00\\x02ab'
    """
    return _LENGTH.pack(len(frame)) + frame


class FrameReader:
    """Splits the bytes received on one connection into frames.

    Examples
    ========
    >>> from hemlockhoist.peers.frames import FrameReader, encode_frame
    >>> reader = FrameReader()
    >>> reader.feed(encode_frame(b"ab") + encode_frame(b"cde")[:5])
    [b'ab']
    >>> reader.feed(encode_frame(b"cde")[5:])
    [b'cde']
    """

    __slots__ = ("_remainder",)

    def __init__(self):
        self._remainder = b""

    @property
    def held_bytes(self):
        """Bytes of a frame that has not come whole."""
        return len(self._remainder)

    def feed(self, data):
        """Add received bytes and return the frames that are now complete.

        Raises
        ======
        PeerError
            ``PEER_MALFORMED`` if a frame exceeds the maximum length.
        """
        data = self._remainder + data
        frames, start = [], 0
        while len(data) - start >= _LENGTH.size:
            (length,) = _LENGTH.unpack_from(data, start)
            if length > MAX_FRAME_BYTES:
                raise PeerError(
                    f"frame length of {length} bytes is out of range",
                    ResultCode.PEER_MALFORMED,
                )
            end = start + _LENGTH.size + length
            if end > len(data):
                break
            frames.append(data[start + _LENGTH.size : end])
            start = end
        self._remainder = data[start:]
        return frames
