"""Parsing of an engine's server-sent events, and checks that none is missing."""

import msgspec

from hemlockhoist.base import DECODE_ERRORS
from hemlockhoist.upstreams.event_format import (
    InvalidEvent,
    match_usual,
    read_event,
    split_lines,
)
from hemlockhoist.upstreams.event_parser import EventParser
from hemlockhoist.upstreams.response_ids import ResponseIdTracker

_DONE = b"[DONE]"
_DONE_EVENT = b"data: [DONE]\n\n"


class StreamEvent(msgspec.Struct, frozen=True):
    """One event: its offset in the stream, and its bytes with the separator.

    ``offset`` is -1 for the final ``[DONE]`` event. The bytes begin with the id field,
    and their lines end with LF, whatever the engine's end with. ``data_begin`` is where
    the value of the data begins if the event has the usual form, else -1.
    """

    offset: int
    raw: bytes
    data_begin: int = -1

    @property
    def done(self):
        """Whether this is the final ``[DONE]`` event."""
        return self.offset < 0

    def data(self):
        """Return the event's data, as bytes."""
        if self.data_begin >= 0:
            return self.raw[self.data_begin : -2]
        return _join_data(read_event(self.raw))

    def response_id(self):
        """Return the response id in the event's data.

        Returns
        =======
        str or None
            Empty without an id, None if the data is no JSON.
        """
        try:
            return _event_decoder.decode(self.data()).id
        except msgspec.ValidationError:
            return ""
        except DECODE_ERRORS:
            return None


class _EventData(msgspec.Struct):
    id: str = ""


_event_decoder = msgspec.json.Decoder(_EventData)


class StreamGap(Exception):  # noqa: N818
    """The stream lacks its events from ``expected`` on and has to be resumed there."""

    def __init__(self, expected, got):
        self.expected = expected
        self.got = got
        super().__init__(f"expected event {expected}, got {got}")


class EventSplitter(EventParser):
    """Splits a stream, received in chunks of any size, into complete events.

    Examples
    ========
    >>> from hemlockhoist.upstreams import EventSplitter
    >>> splitter = EventSplitter()
    >>> splitter.feed(b"id: 0\\ndata: a\\n")
    []
    >>> [event.offset for event in splitter.feed(b"\\ndata: [DONE]\\n\\n")]
    [0, -1]
    >>> splitter.feed(b"HTTP/1.1 200 OK\\r\\n")
    []
    >>> splitter.error.message
    "line that is no field of an event: 'HTTP/1.1 200 OK'"
    """

    __slots__ = ()

    def _read(self, block):
        match = match_usual(block)
        if match is None:
            return self._read_unusual(block)
        begin, end = match.span(2)
        if end - begin == len(_DONE) and match[2] == _DONE:
            raise _numbered_end(block)
        return StreamEvent(int(match[1]), block, begin)

    def _read_unusual(self, block):
        fields = self._read_fields(block)
        if fields is None:
            return None
        is_done = _join_data(fields) == _DONE
        if fields.number is None:
            if not is_done:
                raise InvalidEvent("event without an offset", block)
            return StreamEvent(-1, _DONE_EVENT)
        if is_done:
            raise _numbered_end(block)
        return StreamEvent(fields.number, _with_id_first(fields.number, block))


def _numbered_end(block):
    """Return the error for an end mark that callers see, but that has an offset."""
    return InvalidEvent("end mark with an offset", block)


def _join_data(fields):
    return b"\n".join(value.removeprefix(b" ") for value in fields.data)


def _with_id_first(number, block):
    """Return an event as callers get it: the id first, no comments, LF as line end."""
    lines = [
        line
        for line in split_lines(block)
        if line and not line.startswith((b"id:", b":"))
    ]
    return b"\n".join([b"id: %d" % number, *lines, b"", b""])


class OffsetChecker:
    """Passes each event of a stream on once and in order.

    An engine may repeat events at a resume, or skip some. Repeated events are dropped.
    A skipped one raises ``StreamGap``, as the caller would otherwise read a wrong
    answer that looks complete.

    An engine may also mix up two answers after the head of one was sent: the offsets
    continue, but the text belongs to another request. This shows in the response id
    that every event of a completion carries. An event with another id is treated as a
    gap, so that the stream is resumed with its own events. So is one whose data is no
    JSON: foreign bytes within the line of data leave the format of events intact.

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
            When an event is missing, has another response id or no JSON as data. The
            events after the gap are ignored.
        """
        new_events = []
        for event in events:
            if event.done:
                self.done = True
                new_events.append(event)
                break
            if event.offset < self.expected:
                continue
            if event.offset > self.expected or not self._is_own(event):
                raise StreamGapWithEvents(new_events, self.expected, event.offset)
            self.expected += 1
            new_events.append(event)
        return new_events

    def _is_own(self, event):
        response_id = event.response_id()
        return response_id is not None and self._id_checker.accepts(response_id)


class StreamGapWithEvents(StreamGap):
    """A gap, with the new events received before it."""

    def __init__(self, new_events, expected, got):
        super().__init__(expected, got)
        self.new_events = new_events
