"""Splitting what a client sends into requests, within limits."""

import re

import msgspec

from hemlockhoist.base import BadRequest, ResultCode

# The HTTP library refuses more, too; here both of its parsers count alike.
MAX_FIELDS = 128
# Chunks taken apart before other connections get their turn. Work for a chunk is the
# same whether it holds one byte or thousands.
MAX_CHUNKS_PER_TURN = 64
MAX_LENGTH_DIGITS = 18
_LINE_END = b"\r\n"
_HEAD_END = b"\r\n\r\n"
_TUNNEL_METHOD = b"CONNECT "
_LAST_CHUNK = b"0\r\n\r\n"
_NO_CHUNK = b"\r\n"
# What HTTP allows in a method.
_TOKEN = frozenset(b"!#$%&'*+-.^_`|~0123456789") | frozenset(
    b"abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
)
_FRAMING_FIELD = re.compile(
    rb"\r\n(content-length|transfer-encoding)[ \t]*:[ \t]*([^\r\n]*)", re.IGNORECASE
)
_CHUNK_SIZE = re.compile(rb"[0-9a-fA-F]{1,16}")


class Piece(msgspec.Struct, frozen=True):
    """Bytes of a request that may be parsed now.

    Parameters
    ==========
    data : bytes
        May be empty: after a part of a turn's work, or when a body has ended.
    head_bytes : int
        The size of the head, if ``data`` is one; otherwise 0.
    """

    data: bytes
    head_bytes: int = 0


class RequestReader:
    """Splits the bytes of one connection into heads and parts of bodies.

    A head is handed out whole, and the next request only begins to be read when it is
    asked for. So the parser behind never holds an incomplete head, and no request that
    waits behind another one. Chunks of a body are handed out joined.

    Parameters
    ==========
    limits : callable
        Returns the ``RequestLimits`` in force.

    Attributes
    ==========
    is_in_body : bool
        Whether the body of the current request has not been read to its end.
    is_at_end : bool
        Whether nothing that follows on the connection is a request.
    """

    __slots__ = (
        "_ahead",
        "_chunk_left",
        "_has_begun",
        "_left",
        "_limits",
        "_line_bytes",
        "_skipped_bytes",
        "_searched",
        "_take_body",
        "is_at_end",
    )

    def __init__(self, limits):
        self._limits = limits
        self._ahead = b""
        # How much of what was read ahead has been searched for the end of a head.
        self._searched = 0
        # Empty lines before the head that is being read.
        self._skipped_bytes = 0
        self._take_body = None
        self._left = 0
        self._chunk_left = 0
        self._line_bytes = 0
        self._has_begun = False
        self.is_at_end = False

    @property
    def is_in_body(self):
        """Whether the body of the current request has not been read to its end."""
        return self._take_body is not None

    @property
    def ahead_bytes(self):
        """Bytes that were received and not handed out."""
        return len(self._ahead)

    @property
    def has_begun_head(self):
        """Whether a part of a head has come, and not the whole."""
        return self._take_body is None and bool(self._ahead)

    def add(self, data):
        """Add received bytes."""
        self._ahead = self._ahead + data if self._ahead else data

    def drop(self):
        """Forget what was received; nothing that follows is a request."""
        self._ahead = b""
        self.is_at_end = True

    def take(self):
        """Return the next ``Piece``, or None if more has to be received.

        Raises
        ======
        BadRequest
            ``HEADERS_TOO_LARGE`` or ``MALFORMED_HEAD``: the connection has to end.
        """
        if self.is_at_end or not self._ahead:
            return None
        if self._take_body is not None:
            return self._take_body()
        return self._take_head()

    def _take_head(self):
        self._skip_empty_lines()
        limit = self._limits().max_header_bytes
        end = self._ahead.find(_HEAD_END, max(0, self._searched - 3))
        size = self._skipped_bytes + (end + 4 if end >= 0 else len(self._ahead))
        if size > limit:
            raise _too_large(f"a request's head exceeds {limit} bytes")
        if end < 0:
            self._check_begun()
            return None
        head = self._ahead[: end + 4]
        if head.count(_LINE_END) > MAX_FIELDS + 2:
            raise _too_large(f"a request's head has more than {MAX_FIELDS} fields")
        self._ahead = self._ahead[end + 4 :]
        self._searched = self._skipped_bytes = 0
        self._begin_body(head)
        if self.is_at_end:
            self._ahead = b""
        return Piece(head, size)

    def _skip_empty_lines(self):
        if self._ahead[0] not in _LINE_END:
            return
        before = len(self._ahead)
        self._ahead = self._ahead.lstrip(_LINE_END)
        self._skipped_bytes += before - len(self._ahead)

    def _check_begun(self):
        """Check the part of a head that has come.

        What is no head is known by its first byte, or by its line ends, and would be
        waited for to its time limit otherwise.
        """
        begun, self._searched = self._searched, len(self._ahead)
        if not self._ahead:
            return
        if self._ahead[0] not in _TOKEN:
            raise BadRequest("not a request", ResultCode.MALFORMED_HEAD)
        start = begun - 1 if self._ahead[:begun].endswith(b"\r") else begun
        lines = self._ahead.count(b"\n", start)
        if lines != self._ahead.count(_LINE_END, start):
            raise BadRequest("a line ends without CR", ResultCode.MALFORMED_HEAD)

    def _begin_body(self, head):
        """Find out from a head how its body ends.

        A head that contradicts itself is left to the parser, which refuses it; what
        follows can not be told apart.
        """
        if head.startswith(_TUNNEL_METHOD):
            self.is_at_end = True
            return
        fields = _FRAMING_FIELD.findall(head)
        if not fields:
            return
        name, value = fields[0]
        value = value.strip()
        if len(fields) > 1:
            self.is_at_end = True
        elif name[0] in b"cC":
            if not value.isdigit() or len(value) > MAX_LENGTH_DIGITS:
                self.is_at_end = True
            elif int(value):
                self._left = int(value)
                self._take_body = self._take_counted
        elif value.lower() == b"chunked":
            self._take_body = self._take_chunks
            self._has_begun = False
            self._chunk_left = self._line_bytes = 0
        else:
            self.is_at_end = True

    def _take_counted(self):
        data, self._ahead = self._ahead[: self._left], self._ahead[self._left :]
        self._left -= len(data)
        if not self._left:
            self._take_body = None
        return Piece(data)

    def _take_chunks(self):
        """Take some chunks apart; return what they hold as one chunk."""
        parts, start = [], 0
        for _ in range(MAX_CHUNKS_PER_TURN):
            data, start = self._take_chunk_data(start)
            if data:
                parts.append(data)
            size, start = self._take_chunk_size(start)
            if size is None:
                break
            if not size:
                self._take_body = self._take_trailer
                self._line_bytes = 0
                break
        self._ahead = self._ahead[start:]
        if self.is_at_end:
            return Piece(_NO_CHUNK)
        content = b"".join(parts)
        if not content:
            return Piece(b"") if start else None
        return Piece(b"%x\r\n%b\r\n" % (len(content), content))

    def _take_chunk_data(self, start):
        if not self._chunk_left:
            return b"", start
        data = self._ahead[start : start + self._chunk_left]
        self._chunk_left -= len(data)
        return data, start + len(data)

    def _take_chunk_size(self, start):
        """Return the size of the next chunk and where it begins; None if unknown yet."""
        if self._chunk_left or start >= len(self._ahead):
            return None, start
        begin = start
        if self._has_begun:
            # The end of the chunk before.
            if len(self._ahead) - start < 2:
                return None, start
            if not self._ahead.startswith(_LINE_END, start):
                return self._malformed(start)
            begin = start + 2
        end = self._ahead.find(_LINE_END, begin)
        if end < 0:
            # The line may end with a CR, of which the LF has not come yet.
            if len(self._ahead) - begin - 1 > self._limits().max_header_bytes:
                return self._malformed(start)
            return None, start
        line = self._ahead[begin:end]
        size_text = line.partition(b";")[0]
        is_long = len(line) > self._limits().max_header_bytes
        if is_long or b"\n" in line or not _CHUNK_SIZE.fullmatch(size_text):
            return self._malformed(start)
        self._has_begun = True
        self._chunk_left = int(size_text, 16)
        return self._chunk_left, end + 2

    def _malformed(self, start):
        """Let the parser find a chunk that is none, as the handler has to learn it."""
        self.drop()
        self._take_body = None
        return None, start

    def _take_trailer(self):
        """Drop the fields after the chunks, within the limit of a head."""
        end = self._ahead.find(_LINE_END)
        if end == 0:
            self._ahead = self._ahead[2:]
            self._take_body = None
            return Piece(_LAST_CHUNK)
        size = end + 2 if end > 0 else len(self._ahead)
        if self._line_bytes + size > self._limits().max_header_bytes:
            self.drop()
            self._take_body = None
            return Piece(_NO_CHUNK)
        if end < 0:
            return None
        self._line_bytes += size
        self._ahead = self._ahead[size:]
        return Piece(b"")


def _too_large(text):
    return BadRequest(text, ResultCode.HEADERS_TOO_LARGE)
