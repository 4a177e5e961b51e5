"""Whether a connection may carry another request after a response, and for how long."""

import re

# Margin for the way of a request and for upstreams that close early. The announced time
# is in whole seconds.
IDLE_MARGIN_MS = 500
# An idle connection occupies a descriptor here and a place at its upstream. Upstreams that
# short requests use get one several times a second.
MAX_IDLE_MS = 15_000
# The HTTP library writes a request with a body up to this size in one step. The rest of a
# longer one might not be sent if the response arrives early.
MAX_BODY_BYTES = 60_000
# A longer head is not searched for its end, and its connection not kept.
MAX_HEAD_BYTES = 32_768
_HEAD_END = b"\r\n\r\n"
_LAST_CHUNK = b"0\r\n\r\n"
_TIMEOUT = re.compile(r"timeout=([0-9]{1,6})", re.ASCII | re.IGNORECASE)
_MAX_REQUESTS = re.compile(r"max=([0-9]{1,9})", re.ASCII | re.IGNORECASE)


def idle_ms(text):
    """Return for how long a connection may be idle, from its ``Keep-Alive`` header.

    Parameters
    ==========
    text : str
        Empty without a header.

    Returns
    =======
    int
        0 if the connection must not be kept.

    Examples
    ========
    >>> from hemlockhoist.upstreams.keep_alive import idle_ms
    >>> idle_ms("timeout=5, max=100"), idle_ms("timeout=0"), idle_ms("timeout=soon")
    (4500, 0, 0)
    """
    found = None
    for item in text.split(","):
        item = item.strip()
        limit = _MAX_REQUESTS.fullmatch(item)
        if limit is not None and int(limit[1]) == 0:
            return 0
        timeout = _TIMEOUT.fullmatch(item)
        if timeout is None:
            if item[:7].lower() == "timeout":
                return 0
            continue
        timeout_ms = 1_000 * int(timeout[1])
        found = timeout_ms if found is None else min(found, timeout_ms)
    if found is None:
        return 0
    return min(MAX_IDLE_MS, max(0, found - IDLE_MARGIN_MS))


class ResponseExtent:
    """Checks that exactly one whole response has arrived on a connection.

    The HTTP library's parser may hold the beginning of a further message, which it drops
    when the connection is used again. So the bytes are counted here.

    Parameters
    ==========
    request_id : str
        That the response has to carry.
    request_id_header : str
    """

    __slots__ = (
        "_body_bytes",
        "_head",
        "_head_bytes",
        "_idle_ms",
        "_is_chunked",
        "_is_usable",
        "_message_count",
        "_request_id",
        "_request_id_header",
        "_size",
        "_tail",
    )

    def __init__(self, request_id, request_id_header):
        self._request_id = request_id
        self._request_id_header = request_id_header
        self._size = 0
        self._head = b""
        self._head_bytes = None
        self._tail = b""
        self._message_count = 0
        self._body_bytes = None
        self._is_chunked = False
        self._is_usable = False
        self._idle_ms = 0

    @property
    def has_begun(self):
        """Whether any byte of a response has arrived."""
        return self._size > 0

    def add(self, data):
        """Count bytes that arrived."""
        if self._head_bytes is None:
            self._head += data[: MAX_HEAD_BYTES - len(self._head)]
            end = self._head.find(_HEAD_END)
            if end >= 0:
                self._head_bytes = end + len(_HEAD_END)
                self._head = b""
        self._size += len(data)
        self._tail = (self._tail + data[-len(_LAST_CHUNK) :])[-len(_LAST_CHUNK) :]

    def add_head(self, status, headers, is_last):
        """Record the head of a message.

        Parameters
        ==========
        status : int
        headers : multidict.CIMultiDict
        is_last : bool
            Whether the upstream closes the connection after the message.
        """
        self._message_count += 1
        lengths = headers.getall("Content-Length", [])
        codings = headers.getall("Transfer-Encoding", [])
        self._is_chunked = [item.strip().lower() for item in codings] == ["chunked"]
        if len(lengths) == 1 and lengths[0].isascii() and lengths[0].isdigit():
            self._body_bytes = int(lengths[0])
        has_one_end = bool(codings) != bool(lengths)
        has_id = headers.getall(self._request_id_header, []) == [self._request_id]
        # Statuses without a body have no end of their own; interim ones precede another.
        has_body = status >= 200 and status not in (204, 205, 304)
        self._is_usable = has_one_end and has_id and has_body and not is_last
        self._idle_ms = idle_ms(",".join(headers.getall("Keep-Alive", [])))

    def has_foreign_end(self, is_readable):
        """Return whether bytes that begin no further answer follow the body's end.

        The bytes of another answer within a body move the rest of it behind its end.

        Parameters
        ==========
        is_readable : bool
            Whether the parser could read all that has arrived.
        """
        if self._message_count != 1 or self._head_bytes is None:
            return False
        if self._is_chunked:
            # Trailers may stand between the last chunk and the empty line.
            return not (is_readable and self._tail.endswith(_HEAD_END))
        # An answer to HEAD states the length of a body that it does not have.
        return self._body_bytes is not None and self._behind_bytes > 0

    @property
    def _behind_bytes(self):
        """Bytes behind the stated end; negative as long as some are missing."""
        return self._size - self._head_bytes - self._body_bytes

    def reusable_ms(self):
        """Return for how long the connection may be kept; 0 if it must be closed."""
        if self._message_count != 1 or not self._is_usable or self._head_bytes is None:
            return 0
        if self._is_chunked:
            return self._idle_ms if self._tail == _LAST_CHUNK else 0
        if self._body_bytes is None:
            return 0
        return self._idle_ms if self._behind_bytes == 0 else 0
