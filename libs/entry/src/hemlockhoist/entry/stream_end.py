"""What is known of a stream's end, over all upstreams that sent a part of it."""

from hemlockhoist.base import DispatchError, ResultCode
from hemlockhoist.upstreams import BodyEnd


class StreamEnd:
    """What the upstreams of one stream have shown of its end.

    Attributes
    ==========
    is_uncertain : bool
        Whether the events so far were followed by an orderly end that proves nothing,
        and by no more of the stream since.
    """

    __slots__ = ("_has_rest", "is_uncertain")

    def __init__(self):
        self.is_uncertain = False
        # Whether an upstream has shown that more follows the events so far.
        self._has_rest = False

    @property
    def may_be_here(self):
        """Whether no upstream has shown that more follows the events so far."""
        return not self._has_rest

    def on_events(self):
        """Record further events."""
        self.is_uncertain = self._has_rest = False

    def on_break(self, is_in_event, body_end):
        """Record that an upstream's part broke off.

        Parameters
        ==========
        is_in_event : bool
            Whether an event had begun, or a later one had come.
        body_end : BodyEnd
            Of the upstream's answer, which fell short of its length if it has one.
        """
        if is_in_event or body_end is BodyEnd.LENGTH:
            self._has_rest = True
            self.is_uncertain = False

    def reject(self):
        """Take the latest end in order for a break."""
        self.is_uncertain = False

    def on_end(self, is_in_event, body_end, is_behind=False):
        """Record that an upstream's part has ended in order.

        Parameters
        ==========
        is_in_event : bool
        body_end : BodyEnd
        is_behind : bool, optional
            Whether it ended before the event that it was asked to go on from, which
            shows nothing of what follows that.

        Raises
        ======
        DispatchError
            If that can't be the end of the stream.
        """
        if is_in_event:
            self.on_break(is_in_event, body_end)
            raise _broken("the stream ended in the middle of an event")
        if is_behind:
            raise _broken("the stream ended before the event that it was to go on from")
        if self._has_rest:
            raise _broken("the stream ended without the rest that had been begun")
        self.is_uncertain = not body_end.is_certain


def _broken(text):
    return DispatchError(text, ResultCode.UPSTREAM_BROKE_OFF)
