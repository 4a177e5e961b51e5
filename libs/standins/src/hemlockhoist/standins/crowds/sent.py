"""What the clients of a crowd send on each of their connections."""

import enum

import msgspec

_PART_BYTES = 16_384
_LINE_BYTES = 15_000
_BODY_BYTES = 60_000


class Bytes(msgspec.Struct, frozen=True):
    """What one client sends on a connection: first once, and then again and again.

    Parameters
    ==========
    begin, part : bytes
        Without a part, the client sends nothing more and stays connected.
    """

    begin: bytes = b""
    part: bytes = b""


def _fields(count, length):
    return b"".join(b"X-%d: %s\r\n" % (item, b"x" * length) for item in range(count))


_FILLER = b"x" * _PART_BYTES
_HOST = b"Host: halls.example\r\n"
_CALL = _HOST + b"Attempt-Id: a1\r\nDeadline-Ms: 2000\r\n"
_KEY = b"Authorization: Bearer key-of-aulas\r\n"
_GET = b"GET /check-free/1 HTTP/1.1\r\n" + _CALL
_POST = b"POST /check-free/1 HTTP/1.1\r\n" + _CALL + _KEY
_CHUNKED = _POST + b"Transfer-Encoding: chunked\r\n\r\n"
_LENGTH = b"Content-Length: %d\r\n\r\n"
_UNKNOWN = b"POST /nothing HTTP/1.1\r\n" + _CALL


class Sent(enum.Enum):
    """The kinds of crowds."""

    NOTHING = Bytes()
    FIELD_WITHOUT_END = Bytes(_GET + b"X-Filler: ", _FILLER)
    NAME_WITHOUT_END = Bytes(_GET + b"X", _FILLER)
    TARGET_WITHOUT_END = Bytes(b"GET /", _FILLER)
    METHOD_WITHOUT_END = Bytes(b"", b"G" * _PART_BYTES)
    FIELDS_WITHOUT_END = Bytes(_GET, _fields(100, 100))
    EMPTY_LINES = Bytes(b"", b"\r\n" * (_PART_BYTES // 2))
    EMPTY_LINES_AFTER_A_REQUEST = Bytes(_GET + b"\r\n", b"\r\n" * (_PART_BYTES // 2))
    LARGE_HEADS = Bytes(b"", _GET + _fields(60, _LINE_BYTES) + b"\r\n")
    LARGE_HEAD_THEN_SILENCE = Bytes(_GET + _fields(100, _LINE_BYTES))
    SMALL_REQUESTS = Bytes(b"", (_GET + b"\r\n") * 100)
    ALLOWED_HEADS = Bytes(b"", _GET + _fields(1, _LINE_BYTES) + b"\r\n")
    BODIES = Bytes(b"", _POST + _LENGTH % _BODY_BYTES + b"x" * _BODY_BYTES)
    CHUNKS_OF_ONE_BYTE = Bytes(_CHUNKED, b"1\r\nx\r\n" * 2_000)
    CHUNK_EXTENSION = Bytes(_CHUNKED + b"1;", _FILLER)
    CHUNK_SIZE = Bytes(_CHUNKED, b"0" * _PART_BYTES)
    TRAILER_WITHOUT_END = Bytes(_CHUNKED + b"1\r\nx\r\n0\r\nX-Filler: ", _FILLER)
    TRAILERS_WITHOUT_END = Bytes(_CHUNKED + b"0\r\n", _fields(100, 100))
    BODY_AFTER_A_REFUSAL = Bytes(_UNKNOWN + _LENGTH % 10**12, _FILLER)
    CHUNKS_AFTER_A_REFUSAL = Bytes(
        _UNKNOWN + b"Transfer-Encoding: chunked\r\n\r\n", b"1\r\nx\r\n" * 2_000
    )
    BYTES_AFTER_AN_ERROR = Bytes(b"GET / HTTP/9\r\n\r\n", _FILLER)
    OTHER_PROTOCOL = Bytes(
        _GET + b"Connection: Upgrade\r\nUpgrade: websocket\r\n\r\n", _FILLER
    )
    TUNNEL = Bytes(b"CONNECT halls.example:443 HTTP/1.1\r\n" + _CALL + b"\r\n", _FILLER)
    TLS_RECORDS = Bytes(b"", b"\x16\x03\x01\x40\x00" + b"\x01" * _PART_BYTES)
    FRAME_LENGTH = Bytes(b"\x00\x0f\xff\xff", _FILLER)
    NO_FRAMES = Bytes(b"", b"\x00\x00\x00\x01x" * 3_000)
