"""Parsing of event streams: splitting into events, and checking their order."""

import msgspec

from hemlockhoist.base import DispatchError, ResultCode
from hemlockhoist.upstreams import InvalidEvent, read_event

# Events have a few hundred bytes. This much data without an event's end is no event
# stream, and must not exhaust the memory.
MAX_EVENT_BYTES = 262_144
# More digits are no number of an event, and ``int`` refuses to read thousands of them.
_MAX_NUMBER_DIGITS = 18
_SEPARATOR = b"\n\n"
_ID = b"id:"


class NumberedEvent(msgspec.Struct, frozen=True):
    """An event: its number, and its bytes including the separator."""

    number: int
    raw: bytes


class EventReader:
    """Splits a stream into complete events and returns each once, in order.

    A stream that resumes at another upstream may start with events that the caller
    already has; they are dropped. A skipped number, an event without a number, and an
    incomplete event at the end mean that the stream is broken: if it were passed on, a
    caller would read a wrong response that looks complete.

    Parameters
    ==========
    last_number : int or None
        Number of the last event that the caller has received; None for none.

    Attributes
    ==========
    error : DispatchError or None
        Why the stream is broken; the events before that point were returned.
    odd_text : str
        What is odd in the latest event that was returned and is none by its format.

    Examples
    ========
    >>> from hemlockhoist.entry.events import EventReader
    >>> reader = EventReader()
    >>> reader.feed(b"id: 1\\ndata: a\\n")
    []
    >>> [event.number for event in reader.feed(b"\\nid: 2\\ndata: b\\n\\nid: 3")]
    [1, 2]
    >>> reader.is_between_events
    False
    """

    __slots__ = ("_incomplete", "error", "last_number", "odd_text")

    def __init__(self, last_number=None):
        self.last_number = last_number
        self.error = None
        self.odd_text = ""
        self._incomplete = b""

    @property
    def is_between_events(self):
        """Whether no incomplete event is buffered."""
        return not self._incomplete

    @property
    def incomplete_bytes(self):
        """Size of the incomplete event that is buffered."""
        return len(self._incomplete)

    def restart(self):
        """Discard an incomplete event, which another upstream will send again."""
        self._incomplete = b""
        self.error = None
        self.odd_text = ""

    def feed(self, chunk):
        """Return the events completed by a chunk; check ``error`` afterwards."""
        *parts, self._incomplete = (self._incomplete + chunk).split(_SEPARATOR)
        events = []
        for part in parts:
            number = _event_number(part)
            if number is None:
                self.error = _stream_error("event without a number")
                break
            if self.last_number is not None:
                if number <= self.last_number:
                    continue
                if number > self.last_number + 1:
                    self.error = _stream_error(
                        f"event {number} after {self.last_number}"
                    )
                    break
            self.last_number = number
            events.append(NumberedEvent(number, part + _SEPARATOR))
            self._note_odd(events[-1])
        if len(self._incomplete) > MAX_EVENT_BYTES:
            self.error = _stream_error(f"event of more than {MAX_EVENT_BYTES} bytes")
        return events

    def _note_odd(self, event):
        try:
            read_event(event.raw)
        except InvalidEvent as error:
            self.odd_text = error.message


def _event_number(part):
    for line in part.split(b"\n"):
        if line.startswith(_ID):
            text = line[len(_ID) :].strip()
            is_number = text.isdigit() and len(text) <= _MAX_NUMBER_DIGITS
            return int(text) if is_number else None
    return None


def _stream_error(text):
    return DispatchError(text, ResultCode.UPSTREAM_BROKE_OFF)
