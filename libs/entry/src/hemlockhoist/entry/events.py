"""Parsing of event streams: splitting into events, and checking their order."""

import msgspec

from hemlockhoist.upstreams import EventParser, InvalidEvent, match_usual


class NumberedEvent(msgspec.Struct, frozen=True):
    """An event: its number, and its bytes including the separator."""

    number: int
    raw: bytes


class EventReader(EventParser):
    """Splits a stream into complete events and returns each once, in order.

    A stream that resumes at another upstream may start with events that the caller
    already has; they are dropped. A skipped number, bytes that are no event and an
    incomplete event at the end mean that the stream is broken: if it were passed on, a
    caller would read a wrong response that looks complete.

    Parameters
    ==========
    last_number : int or None
        Number of the last event that the caller has received; None for none.
    declared_fields : frozenset of bytes, optional
        Names of fields that upstreams may send besides those of the format.

    Attributes
    ==========
    error : InvalidEvent or None
        Why the stream is broken; the events before that point were returned.

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

    __slots__ = ("_upstream_number", "last_number")

    def __init__(self, last_number=None, declared_fields=frozenset()):
        super().__init__(declared_fields)
        self.last_number = last_number
        # Number of the latest event of the present upstream; None before any.
        self._upstream_number = None

    @property
    def is_behind(self):
        """Whether the present upstream sent only a part of what the caller has.

        One that sent no event is not: it was asked for those that follow.
        """
        number = self._upstream_number
        return number is not None and number < self.last_number

    def restart(self):
        """Discard an incomplete event, which another upstream will send again."""
        super().restart()
        self._upstream_number = None

    def _read(self, block):
        """Return the next event, or None for one that is no new event."""
        match = match_usual(block)
        if match is not None:
            number = int(match[1])
        else:
            fields = self._read_fields(block)
            if fields is None:
                return None
            number = fields.number
        if number is None:
            raise InvalidEvent("event without a number", block)
        last = self.last_number
        if last is not None and number > last + 1:
            raise InvalidEvent(f"event {number} after {last}")
        self._upstream_number = number
        if last is not None and number <= last:
            return None
        self.last_number = number
        return NumberedEvent(number, block.lstrip(b"\r\n"))
