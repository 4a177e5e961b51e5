"""Frames on a stream of bytes: the length of each, then its bytes."""

import struct

from hemlockhoist.base import PeerError, ResultCode
from hemlockhoist.messages import MAX_FRAME_BYTES

_LENGTH = struct.Struct(">I")


def encode_frame(frame):
    """Return a frame as it goes over a connection.

    Examples
    ========
    >>> from hemlockhoist.peers.frames import encode_frame
    >>> encode_frame(b"ab")
    b'\\x00\\x00\\x00\\x02ab'
    """
    return _LENGTH.pack(len(frame)) + frame


class FrameReader:
    """Cuts what arrives on one connection into frames.

    Examples
    ========
    >>> from hemlockhoist.peers.frames import FrameReader, encode_frame
    >>> reader = FrameReader()
    >>> reader.feed(encode_frame(b"ab") + encode_frame(b"cde")[:5])
    [b'ab']
    >>> reader.feed(encode_frame(b"cde")[5:])
    [b'cde']
    """

    __slots__ = ("_rest",)

    def __init__(self):
        self._rest = b""

    def feed(self, data):
        """Return the frames that are whole with some more bytes.

        Raises
        ======
        PeerError
            ``PEER_MALFORMED`` where a frame is longer than any that hosts send.
        """
        data = self._rest + data
        frames, at = [], 0
        while len(data) - at >= _LENGTH.size:
            (length,) = _LENGTH.unpack_from(data, at)
            if length > MAX_FRAME_BYTES:
                raise PeerError(f"frame of {length} bytes", ResultCode.PEER_MALFORMED)
            end = at + _LENGTH.size + length
            if end > len(data):
                break
            frames.append(data[at + _LENGTH.size : end])
            at = end
        self._rest = data[at:]
        return frames
