"""Server-sent events of an engine's stream, split and checked for completeness."""

import msgspec

from hemlockhoist.base import DispatchError, ResultCode
from hemlockhoist.upstreams.response_ids import ResponseIdTracker

# A piece of an answer is a few hundred bytes; a stream that sends this much without
# an end of event is broken, and must not fill the memory.
MAX_EVENT_BYTES = 262_144
_SEPARATOR = b"\n\n"
_DONE = b"data: [DONE]"
_ID = b"id:"
# An event that is passed on begins with its id, so its data stand on a later line.
_DATA = b"\ndata:"


class StreamEvent(msgspec.Struct, frozen=True):
    """One event: its offset in the stream and its bytes with the separator.

    ``offset`` is -1 for the end mark.
    """

    offset: int
    raw: bytes

    @property
    def done(self):
        """Whether this is the end mark."""
        return self.offset < 0

    def data(self):
        """Return the bytes of the event's data line, without its name."""
        start = self.raw.find(_DATA)
        if start < 0:
            return b""
        start += len(_DATA)
        return self.raw[start : self.raw.find(b"\n", start)]

    def response_id(self):
        """Return the id of the answer that the piece says it belongs to, or ""."""
        try:
            return _piece_decoder.decode(self.data()).id
        except msgspec.MsgspecError:
            return ""


class _Piece(msgspec.Struct):
    id: str = ""


_piece_decoder = msgspec.json.Decoder(_Piece)


class StreamGap(Exception):  # noqa: N818
    """The stream lacks its pieces from ``expected`` on; it has to be resumed there."""

    def __init__(self, expected, got):
        self.expected = expected
        self.got = got
        super().__init__(f"expected piece {expected}, got {got}")


class EventSplitter:
    """Splits a byte stream, cut anywhere, into whole events.

    Examples
    ========
    >>> from hemlockhoist.upstreams import EventSplitter
    >>> splitter = EventSplitter()
    >>> splitter.feed(b"id: 0\\ndata: a\\n")
    []
    >>> [event.offset for event in splitter.feed(b"\\ndata: [DONE]\\n\\n")]
    [0, -1]
    """

    __slots__ = ("_rest",)

    def __init__(self):
        self._rest = b""

    def feed(self, chunk):
        """Return the events that are whole now.

        Raises
        ======
        DispatchError
            ``UPSTREAM_BROKE_OFF`` when the bytes are not a stream of events.
        """
        *parts, rest = (self._rest + chunk).split(_SEPARATOR)
        if len(rest) > MAX_EVENT_BYTES:
            text = f"an event of more than {MAX_EVENT_BYTES} bytes"
            raise DispatchError(text, ResultCode.UPSTREAM_BROKE_OFF)
        self._rest = rest
        return [_parse(part) for part in parts if part]


def _parse(part):
    raw = part + _SEPARATOR
    if part.startswith(_ID):
        head = part[len(_ID) : part.find(b"\n")].strip()
        if head.isdigit():
            return StreamEvent(int(head), raw)
    if part.endswith(_DONE):
        return StreamEvent(-1, raw)
    raise DispatchError("an event without offset", ResultCode.UPSTREAM_BROKE_OFF)


class OffsetChecker:
    """Passes each piece of a stream on once and in order.

    An engine may repeat pieces at a resume, or skip some. Repeated ones are dropped;
    a skipped one raises ``StreamGap``, because a caller would read a wrong answer
    that looks whole.

    An engine may also cross two answers after the head of one has gone out: the
    offsets run on, and the text is somebody else's. It shows in the id that every
    piece of a completion carries. A piece with another id counts as a gap, so that the
    stream is resumed with its own pieces.

    Parameters
    ==========
    expected : int
        Offset of the first piece to pass on.
    name : ResponseIdChecker, optional
        The id that the pieces have to carry.
    """

    __slots__ = ("_name", "done", "expected")

    def __init__(self, expected=0, name=None):
        self.expected = expected
        self.done = False
        self._name = name or ResponseIdTracker().checker_for("", "")

    def check(self, events):
        """Return the events to pass on.

        Raises
        ======
        StreamGap
            With nothing of ``events`` after the gap taken in.
        """
        new_events = []
        for event in events:
            if event.done:
                self.done = True
                new_events.append(event)
                break
            if event.offset < self.expected:
                continue
            crossed = not self._name.accepts(event.response_id())
            if event.offset > self.expected or crossed:
                raise StreamGapWithEvents(new_events, self.expected, event.offset)
            self.expected += 1
            new_events.append(event)
        return new_events


class StreamGapWithEvents(StreamGap):
    """A gap, with the good events before it."""

    def __init__(self, new_events, expected, got):
        super().__init__(expected, got)
        self.new_events = new_events
