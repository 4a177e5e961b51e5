"""Parsing of event streams: splitting into events, and checking their order."""

import msgspec

from hemlockhoist.upstreams import (
    MAX_EVENT_BYTES,
    BlockSplitter,
    InvalidEvent,
    check_begin,
    has_fields,
    read_event,
    usual_number,
)


class NumberedEvent(msgspec.Struct, frozen=True):
    """An event: its number, and its bytes including the separator."""

    number: int
    raw: bytes


class EventReader:
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

    __slots__ = (
        "_declared_fields",
        "_splitter",
        "_upstream_number",
        "error",
        "last_number",
    )

    def __init__(self, last_number=None, declared_fields=frozenset()):
        self.last_number = last_number
        self.error = None
        # Number of the latest event of the present upstream; None before any.
        self._upstream_number = None
        self._declared_fields = declared_fields
        self._splitter = BlockSplitter()

    @property
    def is_between_events(self):
        """Whether no incomplete event is buffered."""
        return not self._splitter.incomplete.strip(b"\r\n")

    @property
    def is_behind(self):
        """Whether the present upstream sent only a part of what the caller has.

        One that sent no event is not: it was asked for those that follow.
        """
        number = self._upstream_number
        return number is not None and number < self.last_number

    @property
    def shows_rest(self):
        """Whether an event has begun that was not returned."""
        if self.error is not None:
            return self.error.is_begun
        return not self.is_between_events

    @property
    def incomplete_bytes(self):
        """Size of the incomplete event that is buffered."""
        return len(self._splitter.incomplete)

    def restart(self):
        """Discard an incomplete event, which another upstream will send again."""
        self._splitter.clear()
        self._upstream_number = self.error = None

    def feed(self, chunk):
        """Return the events completed by a chunk; check ``error`` afterwards."""
        events = []
        try:
            for block in self._splitter.feed(chunk):
                event = self._read(block)
                if event is not None:
                    events.append(event)
            if self._splitter.incomplete:
                self._check_incomplete()
        except InvalidEvent as error:
            self.error = error
        return events

    def _read(self, block):
        """Return the next event, or None for one that is no new event."""
        number = usual_number(block)
        if number is None:
            if not has_fields(block):
                return None
            number = self._read_number(block)
        last = self.last_number
        if last is not None and number > last + 1:
            raise InvalidEvent(f"event {number} after {last}")
        self._upstream_number = number
        if last is not None and number <= last:
            return None
        self.last_number = number
        return NumberedEvent(number, block.lstrip(b"\r\n"))

    def _read_number(self, block):
        fields = read_event(block, self._declared_fields)
        if fields.number is None or not fields.data:
            raise InvalidEvent("event without a number or data", block)
        return fields.number

    def _check_incomplete(self):
        incomplete = self._splitter.incomplete
        if len(incomplete) > MAX_EVENT_BYTES:
            raise InvalidEvent(f"event of more than {MAX_EVENT_BYTES} bytes")
        check_begin(incomplete, self._declared_fields)
