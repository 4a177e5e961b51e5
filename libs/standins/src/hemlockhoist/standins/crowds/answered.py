"""What faulty upstreams and stores of a crowd answer without end."""

import enum
import functools
import zlib

from hemlockhoist.standins.crowds.sent import Bytes

_PART_BYTES = 16_384
_EXPANDED_BYTES = 10_000_000
_GZIP_WINDOW = 31
_FILLER = b"x" * _PART_BYTES
_FIELDS = b"".join(b"X-%d: %s\r\n" % (item, b"x" * 80) for item in range(100))
STATUS = b"HTTP/1.1 200 OK\r\n"
_CHUNKED = STATUS + b"Transfer-Encoding: chunked\r\n\r\n"
_WHOLE = STATUS + b"Content-Length: 2\r\n\r\n{}"


class Answered(enum.Enum):
    """The kinds of answers, as they are sent to each request."""

    STATUS_LINE = Bytes(b"HTTP/1.1 200 ", _FILLER)
    FIELD = Bytes(STATUS + b"X-Filler: ", _FILLER)
    NAME = Bytes(STATUS + b"X", _FILLER)
    FIELDS = Bytes(STATUS, _FIELDS)
    FOLDED_FIELD = Bytes(STATUS + b"X-Filler: x\r\n", b" %s\r\n" % (b"x" * 80))
    BLANKS = Bytes(STATUS + b"X-Filler:", b" " * _PART_BYTES)
    EMPTY_LINES = Bytes(b"", b"\r\n" * (_PART_BYTES // 2))
    INTERIM_ANSWERS = Bytes(b"", b"HTTP/1.1 102 Processing\r\n\r\n" * 500)
    OTHER_PROTOCOL = Bytes(
        b"HTTP/1.1 101 S\r\nConnection: upgrade\r\nUpgrade: websocket\r\n\r\n", _FILLER
    )
    NO_HTTP = Bytes(b"", b"\x16\x03\x01\x40\x00" + b"\x01" * _PART_BYTES)
    LENGTH = Bytes(STATUS + b"Content-Length: %d\r\n\r\n" % 10**18, _FILLER)
    UNFRAMED_BODY = Bytes(STATUS + b"\r\n", _FILLER)
    CHUNKS = Bytes(_CHUNKED, b"%x\r\n%s\r\n" % (_PART_BYTES, _FILLER))
    CHUNKS_OF_ONE_BYTE = Bytes(_CHUNKED, b"1\r\nx\r\n" * 2_000)
    CHUNK_OF_ANY_LENGTH = Bytes(_CHUNKED + b"fffffffffffffff\r\n", _FILLER)
    CHUNK_EXTENSION = Bytes(_CHUNKED + b"1;", _FILLER)
    CHUNK_EXTENSIONS = Bytes(_CHUNKED, b"1;%s\r\nx\r\n" % (b"x" * 4_000))
    CHUNK_SIZE = Bytes(_CHUNKED, b"0" * _PART_BYTES)
    TRAILER = Bytes(_CHUNKED + b"1\r\nx\r\n0\r\nX-Filler: ", _FILLER)
    TRAILERS = Bytes(_CHUNKED + b"1\r\nx\r\n0\r\n", _FIELDS)
    AFTER_AN_ANSWER = Bytes(_WHOLE, _FILLER)
    ANSWERS = Bytes(b"", _WHOLE * 300)
    COMPRESSED = Bytes(
        STATUS + b"Content-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n\r\n"
    )


@functools.cache
def bytes_of(kind):
    """Return the ``Bytes`` of an answer; compressed ones expand a thousand times."""
    if kind is not Answered.COMPRESSED:
        return kind.value
    compressor = zlib.compressobj(9, zlib.DEFLATED, _GZIP_WINDOW)
    parts = []
    for _ in range(2):
        data = compressor.compress(bytes(_EXPANDED_BYTES))
        data += compressor.flush(zlib.Z_SYNC_FLUSH)
        parts.append(b"%x\r\n%s\r\n" % (len(data), data))
    return Bytes(kind.value.begin + parts[0], parts[1])
