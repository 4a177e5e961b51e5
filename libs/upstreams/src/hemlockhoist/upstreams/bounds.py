"""Bounds on what a connection to an upstream receives beside the body of an answer."""

import aiohttp
from aiohttp.client_proto import ResponseHandler
from aiohttp.helpers import EMPTY_BODY_STATUS_CODES

from hemlockhoist.base import MS_PER_S
from hemlockhoist.upstreams.answer_head import HeadReader, InvalidAnswerHead
from hemlockhoist.upstreams.chunk_framing import ChunkReader

# The HTTP library bounds the status line and each header by 8 KB, and the number of
# headers by 128. It bounds neither their sum nor what it skips: empty lines and interim
# responses before a head, blanks before a header's value, extensions of chunks.
MAX_HEAD_BYTES = 65_536
# Bytes received in a row without a byte of the body: sizes and extensions of chunks,
# trailers, and what follows a complete answer. Usual framing has some 10 bytes a chunk.
MAX_FRAMING_BYTES = 65_536
# Bytes of framing for each byte of a body: chunks of three bytes have two. One byte with
# its framing takes the parser in Python some 8 us.
MAX_FRAMING_RATIO = 2
# Bytes of framing beyond that, which are 5,500 chunks of one byte.
MAX_SMALL_CHUNK_BYTES = 16_384
# An upstream that tells once in 50 ms that it is at work sends no more in 12 s. Each
# takes 5 us, and 13 us of the parser in Python.
MAX_INTERIM_ANSWERS = 240
# What is parsed at a time of heads, before the bounds are checked: most have less. One
# read may bring 256 KB, and heads in it would hold the event loop for 0.13 s.
MAX_HEAD_PARSED_BYTES = 4_096
# Likewise of chunks, whose parser in Python copies the rest of what it was given for
# each of them.
MAX_CHUNKS_PARSED_BYTES = 16_384
# An upstream sends a head or an event at once. A lost packet of it is sent again within
# some 0.5 s.
MIN_PART_MS = 500
MAX_PART_MS = 2_000
# Fraction of a request's remaining time that a head or an event may take from its first
# byte, so that another upstream has the rest.
PART_TIME_FRACTION = 0.125
_FIRST_FINAL_STATUS = 200


class DataWithoutEnd(aiohttp.ClientPayloadError):  # noqa: N818
    """An upstream sent more than a bound permits, or took too long for a head."""


def part_limit_ms(remaining_ms):
    """Return the time within which a head or an event that has begun has to end.

    Parameters
    ==========
    remaining_ms : float
        Time that the request has left.

    Examples
    ========
    >>> from hemlockhoist.upstreams.bounds import part_limit_ms
    >>> part_limit_ms(12_600), part_limit_ms(2_700), part_limit_ms(60_000)
    (1575.0, 500, 2000)
    """
    return max(MIN_PART_MS, min(MAX_PART_MS, PART_TIME_FRACTION * remaining_ms))


class BoundedHandler(ResponseHandler):
    """Closes a connection over which an upstream sends data without end.

    Failure prevented: a head that never ends holds its request until the deadline,
    while a repeatable one could be sent to another upstream. The body itself is bounded
    by its readers. Silence is left to the read timeout, also after a part of a head.

    An answer after the one to its request ends a connection. The library would keep the
    heads of all such answers, also while the connection is idle.

    A connection that is closed with a part of its request unsent is aborted. Otherwise
    an upstream that does not read would keep the request's body in this host's memory.
    """

    def __init__(self, loop):
        super().__init__(loop)
        self._head = HeadReader()
        # Of the body that the head announces; None for other bodies.
        self._chunks = None
        # Size of what came behind the head in the same bytes, as a parser gets it.
        self._rest_bytes = 0
        self._body = None
        self._body_bytes = 0
        self._unbounded_bytes = 0
        self._is_chunked = False
        # The body that has ended last, and what came with its end behind it.
        self._ended_body = None
        self._bytes_behind = b""
        # What was received and not given to the parser, as reading is paused.
        self._unparsed = b""
        self._received_bytes = 0
        self._interim_count = 0
        # When the first bytes of a head came, in seconds of the loop; None before them.
        self._head_begin_s = None
        self._has_ended = False

    def set_response_params(self, **params):
        """Prepare for the response to the next request of the connection."""
        self._head = HeadReader()
        self._chunks = None
        self._rest_bytes = 0
        self._body = self._ended_body = None
        self._bytes_behind = b""
        self._body_bytes = self._unbounded_bytes = 0
        self._is_chunked = False
        self._received_bytes = self._interim_count = 0
        self._head_begin_s = None
        super().set_response_params(**params)

    def feed_data(self, data, size=0):
        """Take a parsed head and its body from the parser."""
        message, body = data
        if message.code >= _FIRST_FINAL_STATUS:
            if self._body is not None:
                self._end_unbounded("a further answer")
            elif message.code != self._head.status:
                self._end(InvalidAnswerHead("the parser read another one"))
            self._body = body
            self._is_chunked = message.chunked
            self._body_bytes = self._unbounded_bytes = self._received_bytes = 0
        else:
            self._interim_count += 1
            if self._interim_count > MAX_INTERIM_ANSWERS:
                self._end_unbounded(
                    f"a head of more than {MAX_INTERIM_ANSWERS} interim answers"
                )
        if self._has_ended:
            return
        # The final head may follow an interim one at any later time.
        self._head_begin_s = None
        super().feed_data(data, size)

    def data_received(self, data):
        """Check and parse bytes in parts, and check the bounds after each."""
        if not data:
            # The library calls this to parse on after reads of the body.
            self._parse(data)
        self._unparsed += data
        while self._unparsed and not self._reading_paused:
            if self.transport is None or self._has_ended:
                self._unparsed = b""
                return
            end = self._max_parsed_bytes(len(self._unparsed))
            part, self._unparsed = self._unparsed[:end], self._unparsed[end:]
            self._parse(part)

    @property
    def should_close(self):
        """Whether the connection can carry no further request."""
        return bool(self._unparsed) or super().should_close

    def _max_parsed_bytes(self, byte_count):
        if self._body is None or self._body.is_eof():
            return MAX_HEAD_PARSED_BYTES
        return MAX_CHUNKS_PARSED_BYTES if self._is_chunked else byte_count

    def _parse(self, data):
        byte_count = len(data)
        if data and (self._body is None or self._chunks is not None):
            data = self._checked(data)
            if data is None:
                return
            if self._body is None:
                data = self._parse_head(data)
        if data or not byte_count:
            body, body_bytes = self._body, self._body_bytes
            super().data_received(data)
            if body is not None and body.is_eof() and body is not self._ended_body:
                self._on_body_end(body, data[body.total_bytes - body_bytes :])
            self._end_unreadable_body()
        if self._chunks is not None and self._chunks.error is not None:
            self._end(self._chunks.error)
        if self.transport is None:
            return
        if self._body is not None:
            self._check_framing(byte_count)
        elif byte_count:
            self._check_head(byte_count)

    def bytes_behind(self, body):
        """Return what came with the last bytes of a body of stated length behind it.

        Parameters
        ==========
        body : aiohttp.StreamReader
        """
        return self._bytes_behind if body is self._ended_body else b""

    def _on_body_end(self, body, rest):
        self._ended_body = body
        self._bytes_behind = b"" if self._is_chunked else rest[:MAX_HEAD_BYTES]

    def _parse_head(self, data):
        """Parse the head of the answer if it ends here; return the bytes behind it.

        Failure prevented: a parser that can't read what follows an answer reports the
        error only, and a whole answer is lost that it has read from the same bytes.
        """
        rest_bytes = self._rest_bytes
        if not rest_bytes or self._parser is None:
            return data
        super().data_received(data[:-rest_bytes])
        return data[-rest_bytes:] if self._body is not None else b""

    def _check_framing(self, byte_count):
        body_bytes = self._body.total_bytes
        self._received_bytes += byte_count
        if body_bytes > self._body_bytes:
            self._body_bytes = body_bytes
            self._unbounded_bytes = 0
        else:
            self._unbounded_bytes += byte_count
            if self._unbounded_bytes > MAX_FRAMING_BYTES:
                text = f"{self._unbounded_bytes} bytes outside of its body"
                self._end_unbounded(text)
        # The parser keeps a part of what it was given while reading is paused.
        if self._is_chunked and not self._reading_paused:
            framing_bytes = self._received_bytes - body_bytes
            if framing_bytes > MAX_SMALL_CHUNK_BYTES + MAX_FRAMING_RATIO * body_bytes:
                self._end_unbounded(
                    f"{framing_bytes} bytes of framing outside of its body"
                )

    def _checked(self, data):
        """Return the bytes to parse; None if they are no head of an answer."""
        if self._head_begin_s is None and self._body is None:
            self._head_begin_s = self._loop.time()
        if self._parser is None:
            # The library keeps the bytes, and passes them again once it has one.
            return data
        try:
            if self._chunks is not None:
                return self._chunks.feed(data)
            data, rest = self._head.feed(data), self._head.rest
            head = data[: len(data) - len(rest)]
            if self._announces_chunks:
                self._chunks = ChunkReader()
                rest = self._chunks.feed(rest)
            self._rest_bytes = len(rest)
            return head + rest
        except InvalidAnswerHead as error:
            self._end(error)
            return None

    @property
    def _announces_chunks(self):
        """Whether the head has ended, and chunks follow it."""
        has_body = not self._skip_payload
        if self._head.status in EMPTY_BODY_STATUS_CODES:
            has_body = False
        return self._head.is_chunked and has_body

    def _check_head(self, byte_count):
        self._unbounded_bytes += byte_count
        if self._unbounded_bytes > MAX_HEAD_BYTES:
            self._end_unbounded(f"a head of more than {MAX_HEAD_BYTES} bytes")
        elif self._head_begin_s is not None:
            remaining_ms = (self.read_timeout or MAX_PART_MS) * MS_PER_S
            limit_ms = part_limit_ms(remaining_ms)
            if (self._loop.time() - self._head_begin_s) * MS_PER_S > limit_ms:
                self._end_unbounded(f"a head that did not end within {limit_ms:.0f} ms")

    def _end_unreadable_body(self):
        """End a body whose framing the parser could not read.

        The HTTP library only closes the connection. With its compiled parser, the
        reader of a body that has begun would then wait without a time limit.
        """
        error, body = self._exception, self._body
        if error is None or body is None or body.is_eof() or body.exception():
            return
        body.set_exception(aiohttp.ClientPayloadError(f"unreadable framing: {error!a}"))

    def _end_unbounded(self, text):
        self._end(DataWithoutEnd(f"the other side sent {text}"))

    def _end(self, error):
        """Abort the connection, and report the answer as broken if it is incomplete."""
        if self._has_ended:
            return
        self._has_ended = True
        transport = self.transport
        if self._body is not None and not self._body.is_eof():
            self._body.set_exception(error)
        self.set_exception(error)
        if transport is not None:
            transport.abort()

    def close(self):
        """Close the connection; abort it if its request was not sent in full."""
        transport = self.transport
        if transport is not None and transport.get_write_buffer_size():
            transport.abort()
        super().close()
