"""One connection of a client to an HTTP server, bounded before the server parses it."""

import asyncio

from hemlockhoist.base import MS_PER_S, BadRequest, HemlockhoistError, ResultCode
from hemlockhoist.listeners.http_handler import no_memory, refusal
from hemlockhoist.listeners.request_reader import RequestReader
from hemlockhoist.listeners.send_queue import UnreadOutput

# Received at a time; an ordinary request with its body fits.
READ_BYTES = 32_768
# The same while memory is short.
SHORT_READ_BYTES = 2_048
# Heads and bytes sent ahead are accounted above this size.
FREE_BYTES = 4_096
# A head is held as it came, and as the names and values in it, twice.
HEAD_COPIES = 4
# Output of finished answers that may be unread when the next request is begun.
MAX_UNREAD_BYTES = 16_384
# A client that takes nothing of its answers for this long is cut off.
UNREAD_TIMEOUT_MS = 30_000
# After a refusal, what the client still sends is read and dropped for a while: closing
# with unread input would destroy the answer on its way.
LINGER_MS = 1_000
LINGER_BYTES = 1_048_576


class HttpConnection(asyncio.BufferedProtocol):
    """Hands one request at a time to the HTTP server, within limits.

    Load: clients that send heads or bodies without end, or many requests ahead, and
    read no answers. Whatever they send, a connection holds one request and what was
    received at a time, and the event loop does a bounded piece of work for it before
    it turns to the others.

    Parameters
    ==========
    connections : HttpConnections
    """

    __slots__ = (
        "_connections",
        "_discarded_bytes",
        "_handler",
        "_has_answer",
        "_head_cost",
        "_head_since_ms",
        "_input_end",
        "_is_discarding",
        "_is_ended",
        "_is_overdue",
        "_is_parser_paused",
        "_is_reading_paused",
        "_loop",
        "_reader",
        "_received_bytes",
        "_reserved_bytes",
        "_transport",
        "_turn",
        "_unread_output",
        "is_busy",
        "since_ms",
    )

    def __init__(self, connections):
        self._connections = connections
        self._loop = connections.loop
        self._reader = RequestReader(connections.limits)
        self._handler = None
        self._transport = None
        # A request has been handed out and not been answered.
        self.is_busy = False
        self.since_ms = connections.now_ms()
        # No further request is taken from this connection.
        self._is_ended = False
        # What comes is dropped until the connection is closed.
        self._is_discarding = False
        self._has_answer = False
        self._discarded_bytes = 0
        self._received_bytes = 0
        self._reserved_bytes = 0
        self._head_cost = 0
        self._is_parser_paused = False
        self._is_reading_paused = False
        # The next turn of the event loop in which more is taken.
        self._turn = None
        self._head_since_ms = None
        self._is_overdue = False
        self._unread_output = UnreadOutput()
        # Has a result once the client sends nothing more.
        self._input_end = None

    def connection_made(self, transport):
        """Begin to serve a connection."""
        self._transport = transport
        self._handler = self._connections.make_handler(self)
        self._handler.connection_made(transport)
        self._connections.add(self)

    def connection_lost(self, exc):
        """Give back what the connection holds."""
        self._transport = None
        if self._turn is not None:
            self._turn.cancel()
        self._reader.drop()
        self._reserve(0)
        self._connections.remove(self)
        self._end_linger()
        self._handler.connection_lost(exc)

    def eof_received(self):
        """Tell the server that the client sends nothing more."""
        self._end_linger()
        return self._handler.eof_received()

    def pause_writing(self):
        """Tell the server that the client does not read."""
        self._handler.pause_writing()
        self._connections.watch(self)

    def resume_writing(self):
        """Tell the server that the client has read, and go on with the next request."""
        self._handler.resume_writing()
        self._advance()

    def get_buffer(self, sizehint):
        """Return the buffer for the next bytes, which all connections share."""
        return self._connections.read_buffer()

    def buffer_updated(self, nbytes):
        """Take what has been received."""
        self._received_bytes += nbytes
        # What is no request is dropped and not left in the socket, or nobody would
        # notice that the client has left.
        is_dropped = self._is_discarding or self._reader.is_at_end
        if is_dropped or (self._has_answer and self._reader.is_in_body):
            self._discard(nbytes)
        if is_dropped:
            self._end_turn(nbytes)
            return
        self._reader.add(self._connections.received(nbytes))
        self._end_turn(nbytes)
        self._advance()

    def _end_turn(self, nbytes):
        """Let other connections have their turn after as much as fits at a time."""
        if nbytes >= self._connections.read_bytes:
            self._schedule_turn()

    def _schedule_turn(self):
        if self._turn is None:
            self._turn = self._loop.call_soon(self._begin_turn)
            self._update_reading()

    def _begin_turn(self):
        self._turn = None
        self._advance()

    def _advance(self):
        """Hand out what may be handed out now."""
        try:
            while self._may_take():
                piece = self._reader.take()
                if piece is None:
                    break
                self._hand_out(piece)
                if self._reader.is_in_body and self._reader.ahead_bytes:
                    self._schedule_turn()
                    break
            self._account()
        except HemlockhoistError as error:
            self._refuse(error)
        self._watch_head()
        self._update_reading()

    def _may_take(self):
        if self._transport is None or self._transport.is_closing() or self._turn:
            return False
        if self._reader.is_in_body:
            return not self._is_parser_paused
        return not (self.is_busy or self._is_ended or self._has_unread_output())

    def _hand_out(self, piece):
        if piece.head_bytes:
            self._begin_request(piece.head_bytes)
        if piece.data:
            self._handler.data_received(piece.data)

    def _begin_request(self, head_bytes):
        self._head_cost = HEAD_COPIES * head_bytes if head_bytes > FREE_BYTES else 0
        if not self._reserve(self._head_cost):
            raise no_memory()
        self._head_since_ms = None
        self._discarded_bytes = 0
        self._has_answer = False
        self.is_busy = True

    def _account(self):
        """Account what was received ahead.

        Without memory for it, a head is refused. What waits behind a request is
        dropped, and the connection ends with the answer: its client knows that what
        it sent after that request has not been read.
        """
        if self._transport is None or self._reader.is_in_body:
            return
        ahead_bytes = self._reader.ahead_bytes
        size = ahead_bytes if ahead_bytes > FREE_BYTES else 0
        if self._reserve(self._head_cost + size):
            return
        if not self.is_busy:
            raise no_memory()
        self._reader.drop()

    def _reserve(self, size):
        """Set the accounted bytes; return whether there is room for them."""
        change = size - self._reserved_bytes
        if change > 0 and not self._connections.memory.try_reserve(change):
            return False
        if change < 0:
            self._connections.memory.release(-change)
        self._reserved_bytes = size
        return True

    def _has_unread_output(self):
        return self._transport.get_write_buffer_size() > MAX_UNREAD_BYTES

    def _update_reading(self):
        """Receive more only if it can be used."""
        if self._transport is None or self._transport.is_closing():
            return
        is_paused = self._turn is not None
        if not self._is_discarding and not is_paused:
            is_paused = self._is_parser_paused
            if self._reader.ahead_bytes and not self._may_take():
                is_paused = True
        if is_paused == self._is_reading_paused:
            return
        self._is_reading_paused = is_paused
        if is_paused:
            self._transport.pause_reading()
        else:
            self._transport.resume_reading()

    def on_parser_paused(self):
        """Record that the server has enough of the body for now."""
        self._is_parser_paused = self._is_reading_paused = True

    def on_parser_resuming(self):
        """Record that the server takes more of the body."""
        self._is_parser_paused = False

    def on_parser_resumed(self):
        """Go on with the body that the server has paused.

        Not at once: the parser calls this in the middle of what it has been handed.
        """
        if not self._is_parser_paused:
            self._is_reading_paused = False
            self._schedule_turn()

    def is_quiet(self, since_ms):
        """Return whether no request is open, and none is due as it connected later."""
        if not self._received_bytes:
            return self.since_ms < since_ms
        is_begun = self.is_busy or self._head_since_ms is not None
        return not (is_begun or self._transport.get_write_buffer_size())

    async def on_answered(self, keeps_alive):
        """Record that an answer has been written.

        Parameters
        ==========
        keeps_alive : bool
            Whether the server leaves the connection open.
        """
        self.is_busy = False
        self._head_cost = 0
        self._has_answer = True
        self.since_ms = self._connections.now_ms()
        self._reserve(0)
        if self._transport is None:
            return
        if self._transport.get_write_buffer_size():
            # Has the transport tell when the client has read.
            self._transport.set_write_buffer_limits(high=MAX_UNREAD_BYTES)
            self._connections.watch(self)
        if not keeps_alive or self._reader.is_at_end:
            self._is_ended = True
            await self._linger()
        elif self._reader.ahead_bytes:
            self._schedule_turn()

    async def _linger(self):
        """Read and drop what the client still sends, as the server closes next."""
        if not self._reader.ahead_bytes and not self._reader.is_at_end:
            return
        self._begin_discarding()
        self._input_end = self._loop.create_future()
        await asyncio.wait([self._input_end], timeout=LINGER_MS / MS_PER_S)
        self._close()

    def _end_linger(self):
        if self._input_end is not None and not self._input_end.done():
            self._input_end.set_result(None)

    def _begin_discarding(self):
        self._is_discarding = True
        self._is_ended = True
        self._discarded_bytes = 0
        self._reader.drop()
        self._connections.watch(self)
        self._update_reading()

    def _discard(self, nbytes):
        """Count what is dropped; a client that does not stop is cut off."""
        self._discarded_bytes += nbytes
        limit = LINGER_BYTES
        if not self._is_discarding:
            limit = max(limit, self._connections.limits().max_body_bytes)
        if self._discarded_bytes > limit:
            self.cut("input_after_answer")

    def _refuse(self, error):
        """Answer instead of the server, and end the connection."""
        if self._transport is None:
            return
        self._connections.on_cut(self, error.code.name.lower(), self._received_bytes)
        self._reserve(0)
        self._transport.write(refusal(error, self._connections.refusal_headers))
        self._has_answer = True
        self._begin_discarding()
        self._loop.call_later(LINGER_MS / MS_PER_S, self._close)

    def _close(self):
        if self._transport is not None:
            self._transport.close()

    def abort(self):
        """End an idle connection at once, so that its descriptor is free."""
        self._is_ended = True
        if self._transport is not None:
            self._transport.abort()

    def cut(self, cause):
        """End the connection at once."""
        if self._transport is None:
            return
        self._connections.on_cut(self, cause, self._received_bytes)
        self._transport.abort()

    def on_malformed(self, code):
        """Record a request that the library could not parse; return its headers."""
        self._connections.on_cut(self, code.name.lower(), self._received_bytes)
        self._reader.drop()
        return self._connections.refusal_headers(code)

    def _watch_head(self):
        is_begun = self._reader.has_begun_head and not self._is_discarding
        if not is_begun or self.is_busy or self._is_ended:
            self._head_since_ms = None
        elif self._head_since_ms is None:
            self._is_overdue = False
            self._head_since_ms = self._connections.now_ms()
            self._connections.watch(self)

    def check(self, now_ms):
        """Cut off what has taken too long; return whether to check again.

        Parameters
        ==========
        now_ms : int
        """
        if self._transport is None:
            return False
        awaited = (self._check_head(now_ms), self._check_output(now_ms))
        return any(awaited) or self._is_discarding

    def _check_head(self, now_ms):
        if self._head_since_ms is None or self._has_unread_output():
            return False
        limit_ms = self._connections.limits().header_timeout_ms
        if now_ms - self._head_since_ms < limit_ms:
            return True
        # After a pause of the process, the rest of the head may wait in the socket.
        if not self._is_overdue:
            self._is_overdue = True
            return True
        text = f"a request's head did not arrive within {limit_ms} ms"
        self._refuse(BadRequest(text, ResultCode.HEAD_TOO_SLOW))
        return False

    def _check_output(self, now_ms):
        untaken_ms = self._unread_output.untaken_ms(self._transport, now_ms)
        if untaken_ms is None or untaken_ms < UNREAD_TIMEOUT_MS:
            return untaken_ms is not None
        self.cut("unread_answers")
        return False
