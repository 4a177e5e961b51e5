"""Packing of large row values for the way between two hosts."""

import zstandard

from hemlockhoist.base import PeerError, ResultCode
from hemlockhoist.messages.codec import MAX_FRAME_BYTES

# Smaller values are sent as they are.
MIN_PACKED_BYTES = 2_048
# The fastest level that finds a value's matches throughout its predecessor.
_LEVEL = 3


def pack_value(value, base=None):
    """Return a value in packed form (Zstandard, RFC 8878).

    Parameters
    ==========
    value : bytes
    base : bytes or None
        An earlier value that the receiver has; what both share takes almost no room.

    Examples
    ========
    >>> from hemlockhoist.messages import pack_value, unpack_value
    >>> unpack_value(pack_value(b"routes" * 9, b"routes" * 8), b"routes" * 8)[:6]
    b'routes'
    """
    return zstandard.ZstdCompressor(level=_LEVEL, dict_data=_dictionary(base)).compress(
        value
    )


def unpack_value(packed, base=None):
    """Return the value in a packed form.

    Parameters
    ==========
    packed : bytes
    base : bytes or None
        The earlier value by which it was packed.

    Raises
    ======
    PeerError
        ``PEER_MALFORMED`` if it cannot be unpacked, or is too large.
    """
    try:
        size = zstandard.frame_content_size(packed)
        if not 0 <= size <= MAX_FRAME_BYTES:
            text = f"packed value of {size} bytes is out of range"
            raise PeerError(text, ResultCode.PEER_MALFORMED)
        unpacker = zstandard.ZstdDecompressor(dict_data=_dictionary(base))
        return unpacker.decompress(packed)
    except zstandard.ZstdError as error:
        text = f"packed value is unreadable: {error}"
        raise PeerError(text, ResultCode.PEER_MALFORMED) from error


def _dictionary(base):
    if base is None:
        return None
    return zstandard.ZstdCompressionDict(base, dict_type=zstandard.DICT_TYPE_RAWCONTENT)
