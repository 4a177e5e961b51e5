"""Handover of open streams to other hosts when a planned stop takes too long."""


class StreamHandover:
    """The streams that this host relays, and whether they are to be handed over.

    Examples
    ========
    >>> from hemlockhoist.host.handover import StreamHandover
    >>> handover = StreamHandover()
    >>> handover.begin()
    >>> handover.begun
    True
    """

    __slots__ = ("_relays", "begun")

    def __init__(self):
        self._relays = set()
        self.begun = False

    def add(self, relay):
        """Register a stream that is being relayed."""
        self._relays.add(relay)

    def discard(self, relay):
        """Unregister a stream that has ended."""
        self._relays.discard(relay)

    def begin(self):
        """Have every resumable stream direct its caller to another host.

        The pending read of each stream is interrupted: a stream may carry no data for a
        long time, and would be handed over only at its next event.
        """
        self.begun = True
        for relay in tuple(self._relays):
            relay.interrupt()
