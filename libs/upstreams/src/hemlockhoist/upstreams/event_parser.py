"""The part that all readers of event streams share."""

from hemlockhoist.upstreams.event_format import (
    MAX_EVENT_BYTES,
    BlockSplitter,
    InvalidEvent,
    check_begin,
    has_fields,
    read_event,
)


class EventParser:
    """Splits a stream into events, up to the first bytes that are none.

    Subclasses define ``_read(block)``, which returns an event, or None for a block that
    is left out, and raises ``InvalidEvent``.

    Parameters
    ==========
    declared_fields : frozenset of bytes, optional
        Names of fields that upstreams may send besides those of the format.

    Attributes
    ==========
    error : InvalidEvent or None
        Why the stream is broken; the events before that point were returned.
    """

    __slots__ = ("_declared_fields", "_splitter", "error")

    def __init__(self, declared_fields=frozenset()):
        self.error = None
        self._declared_fields = declared_fields
        self._splitter = BlockSplitter()

    @property
    def is_between_events(self):
        """Whether no incomplete event is buffered."""
        return not self._splitter.incomplete.strip(b"\r\n")

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
        self.error = None

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

    def _read_fields(self, block):
        """Return the ``EventFields`` of a block, or None if it has none.

        Raises
        ======
        InvalidEvent
        """
        if not has_fields(block):
            return None
        fields = read_event(block, self._declared_fields)
        if not fields.data:
            raise InvalidEvent("event without data", block)
        return fields

    def _check_incomplete(self):
        incomplete = self._splitter.incomplete
        if len(incomplete) > MAX_EVENT_BYTES:
            raise InvalidEvent(f"event of more than {MAX_EVENT_BYTES} bytes")
        check_begin(incomplete, self._declared_fields)
