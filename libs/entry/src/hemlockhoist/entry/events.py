"""Events of a stream: split from its bytes, and checked for their order."""

import msgspec

from hemlockhoist.base import DispatchError, ResultCode

# An event is some hundred bytes; this much without an end is no stream of events, and
# must not fill the memory.
MAX_EVENT_BYTES = 262_144
_SEPARATOR = b"\n\n"
_ID = b"id:"


class NumberedEvent(msgspec.Struct, frozen=True):
    """One event: its number, and its bytes with the separator."""

    number: int
    raw: bytes


class EventReader:
    """Splits a stream into whole events and gives each once, in order.

    A stream that goes on at another upstream may begin with events that the caller
    has; they are dropped. A number that is skipped, an event without one, and bytes
    left over at the end mean that the stream is broken: passed on, a caller would read
    a wrong answer that looks whole.

    Parameters
    ==========
    last_number : int or None
        Of the last event that the caller has; None where it has none.

    Attributes
    ==========
    error : DispatchError or None
        Why the stream is broken; the events before the break were given.

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

    __slots__ = ("_rest", "error", "last_number")

    def __init__(self, last_number=None):
        self.last_number = last_number
        self.error = None
        self._rest = b""

    @property
    def is_between_events(self):
        """Whether no part of an event is left over."""
        return not self._rest

    def restart(self):
        """Forget a part of an event: another upstream begins it anew."""
        self._rest = b""
        self.error = None

    def feed(self, chunk):
        """Return the new events that are whole now; see ``error`` after it."""
        *parts, self._rest = (self._rest + chunk).split(_SEPARATOR)
        events = []
        for part in parts:
            number = _number(part)
            if number is None:
                self.error = _broken("an event without a number")
                break
            if self.last_number is not None:
                if number <= self.last_number:
                    continue
                if number > self.last_number + 1:
                    self.error = _broken(f"event {number} after {self.last_number}")
                    break
            self.last_number = number
            events.append(NumberedEvent(number, part + _SEPARATOR))
        if len(self._rest) > MAX_EVENT_BYTES:
            self.error = _broken(f"an event of more than {MAX_EVENT_BYTES} bytes")
        return events


def _number(part):
    for line in part.split(b"\n"):
        if line.startswith(_ID):
            text = line[len(_ID) :].strip()
            return int(text) if text.isdigit() else None
    return None


def _broken(text):
    return DispatchError(text, ResultCode.UPSTREAM_BROKE_OFF)
