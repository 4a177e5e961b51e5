"""Parsing of an engine's server-sent events, and checks that none is missing."""

import msgspec

from hemlockhoist.base import DECODE_ERRORS, DispatchError, ResultCode
from hemlockhoist.upstreams.response_ids import ResponseIdTracker

# An event takes a few hundred bytes. A stream that sends this much without the end of
# an event is malformed, and must not exhaust the memory.
MAX_EVENT_BYTES = 262_144
# More digits are no offset, and ``int`` refuses to read thousands of them.
_MAX_OFFSET_DIGITS = 18
_SEPARATOR = b"\n\n"
_DONE = b"data: [DONE]"
_ID = b"id:"
# An event that is relayed begins with its id field, so its data is on a later line.
_DATA = b"\ndata:"


class StreamEvent(msgspec.Struct, frozen=True):
    """One event: its offset in the stream, and its bytes with the separator.

    ``offset`` is -1 for the final ``[DONE]`` event.
    """

    offset: int
    raw: bytes

    @property
    def done(self):
        """Whether this is the final ``[DONE]`` event."""
        return self.offset < 0

    def data(self):
        """Return the value of the event's data field, as bytes."""
        start = self.raw.find(_DATA)
        if start < 0:
            return b""
        start += len(_DATA)
        return self.raw[start : self.raw.find(b"\n", start)]

    def response_id(self):
        """Return the response id in the event's data, or an empty string."""
        try:
            return _event_decoder.decode(self.data()).id
        except DECODE_ERRORS:
            return ""


class _EventData(msgspec.Struct):
    id: str = ""


_event_decoder = msgspec.json.Decoder(_EventData)


class StreamGap(Exception):  # noqa: N818
    """The stream lacks its events from ``expected`` on and has to be resumed there."""

    def __init__(self, expected, got):
        self.expected = expected
        self.got = got
        super().__init__(f"expected event {expected}, got {got}")


class EventSplitter:
    """Splits a byte stream, received in chunks of any size, into complete events.

    Examples
    ========
    >>> from hemlockhoist.upstreams import EventSplitter
    >>> splitter = EventSplitter()
    >>> splitter.feed(b"id: 0\\ndata: a\\n")
    []
    >>> [event.offset for event in splitter.feed(b"\\ndata: [DONE]\\n\\n")]
    [0, -1]
    """

    __slots__ = ("_remainder",)

    def __init__(self):
        self._remainder = b""

    def feed(self, chunk):
        """Return the events that ``chunk`` completes.

        Raises
        ======
        DispatchError
            ``UPSTREAM_BROKE_OFF`` when the bytes are not an event stream.
        """
        *parts, remainder = (self._remainder + chunk).split(_SEPARATOR)
        if len(remainder) > MAX_EVENT_BYTES:
            text = f"event longer than {MAX_EVENT_BYTES} bytes"
            raise DispatchError(text, ResultCode.UPSTREAM_BROKE_OFF)
        self._remainder = remainder
        return [_parse(part) for part in parts if part]


def _parse(part):
    raw = part + _SEPARATOR
    if part.startswith(_ID):
        head = part[len(_ID) : part.find(b"\n")].strip()
        if head.isdigit() and len(head) <= _MAX_OFFSET_DIGITS:
            return StreamEvent(int(head), raw)
    if part.endswith(_DONE):
        return StreamEvent(-1, raw)
    raise DispatchError("event without an offset", ResultCode.UPSTREAM_BROKE_OFF)


class OffsetChecker:
    """Passes each event of a stream on once and in order.

    An engine may repeat events at a resume, or skip some. Repeated events are dropped.
    A skipped one raises ``StreamGap``, as the caller would otherwise read a wrong
    answer that looks complete.

    An engine may also mix up two answers after the head of one was sent: the offsets
    continue, but the text belongs to another request. This shows in the response id
    that every event of a completion carries. An event with another id is treated as a
    gap, so that the stream is resumed with its own events.

    Parameters
    ==========
    expected : int
        Offset of the first event to pass on.
    id_checker : ResponseIdChecker, optional
        Check of the response id that the events carry.
    """

    __slots__ = ("_id_checker", "done", "expected")

    def __init__(self, expected=0, id_checker=None):
        self.expected = expected
        self.done = False
        self._id_checker = id_checker or ResponseIdTracker().checker_for("", "")

    def check(self, events):
        """Return the events to pass on.

        Raises
        ======
        StreamGap
            When an event is missing or has another response id. The events after the
            gap are ignored.
        """
        new_events = []
        for event in events:
            if event.done:
                self.done = True
                new_events.append(event)
                break
            if event.offset < self.expected:
                continue
            is_mismatched = not self._id_checker.accepts(event.response_id())
            if event.offset > self.expected or is_mismatched:
                raise StreamGapWithEvents(new_events, self.expected, event.offset)
            self.expected += 1
            new_events.append(event)
        return new_events


class StreamGapWithEvents(StreamGap):
    """A gap, with the new events received before it."""

    def __init__(self, new_events, expected, got):
        super().__init__(expected, got)
        self.new_events = new_events
