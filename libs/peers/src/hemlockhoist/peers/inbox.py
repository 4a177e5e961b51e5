"""The receiving side's checks: order, duplicates and lateness of envelopes."""

from hemlockhoist.base import PeerError, ResultCode

# Incarnations of one sender remembered as ended; a host restarts less than once a
# day, and a frame of an earlier process is not delayed for days.
MAX_PAST_INCARNATIONS = 16


class _SenderState:
    """What is known of one incarnation of a sender."""

    __slots__ = (
        "incarnation",
        "last_received_ms",
        "min_offset_ms",
        "past_incarnations",
        "sequence",
    )

    def __init__(self, incarnation, past_incarnations):
        self.incarnation = incarnation
        self.past_incarnations = past_incarnations
        self.sequence = 0
        self.min_offset_ms = None
        self.last_received_ms = None


class Inbox:
    """Accepts each envelope once and tells how late it came.

    A grant that waited in the socket of a frozen process looks fresh when it is
    read. The difference between arrival and sending, less the smallest difference
    seen from that sender, is the time it was under way beyond the usual: the two
    clocks need not agree, only run at one speed.

    Parameters
    ==========
    address : str
        Of the receiver.

    Examples
    ========
    >>> from hemlockhoist.messages import Envelope
    >>> from hemlockhoist.peers import Inbox
    >>> def arrive(inbox, sequence, sent_ms, now_ms):
    ...     envelope = Envelope(
    ...         sender="a", incarnation="1", receiver="b", sequence=sequence,
    ...         sent_ms=sent_ms, messages=[])
    ...     return inbox.accept(envelope, now_ms)
    >>> inbox = Inbox("b")
    >>> arrive(inbox, 1, 100, 5100)
    0
    >>> arrive(inbox, 2, 200, 8200)
    3000
    """

    __slots__ = ("_address", "_new_incarnation_of", "_senders")

    def __init__(self, address):
        self._address = address
        self._senders = {}
        self._new_incarnation_of = ""

    def accept(self, envelope, now_ms):
        """Return the lateness of an envelope in milliseconds.

        Raises
        ======
        PeerError
            ``PEER_UNAUTHENTIC`` when the envelope is for another host or was
            delivered before.
        """
        if envelope.receiver != self._address:
            text = f"envelope for {envelope.receiver}"
            raise PeerError(text, ResultCode.PEER_UNAUTHENTIC)
        state = self._state(envelope)
        if envelope.sequence <= state.sequence:
            text = f"envelope {envelope.sequence} of {envelope.sender} came twice"
            raise PeerError(text, ResultCode.PEER_UNAUTHENTIC)
        state.sequence = envelope.sequence
        state.last_received_ms = now_ms
        offset_ms = now_ms - envelope.sent_ms
        if state.min_offset_ms is None or offset_ms < state.min_offset_ms:
            state.min_offset_ms = offset_ms
        return offset_ms - state.min_offset_ms

    def last_received_ms(self, sender):
        """Return when the last envelope of a sender came, or None."""
        state = self._senders.get(sender)
        return state.last_received_ms if state is not None else None

    def is_new_incarnation(self, sender):
        """Return whether the last envelope began another run of a known sender."""
        return self._new_incarnation_of == sender

    def forget(self, sender):
        """Drop what is known of a host that has left the fleet."""
        self._senders.pop(sender, None)

    def _state(self, envelope):
        state = self._senders.get(envelope.sender)
        self._new_incarnation_of = ""
        if state is None:
            state = _SenderState(envelope.incarnation, ())
        elif envelope.incarnation in state.past_incarnations:
            # A delayed frame of the process before a restart would otherwise begin
            # that incarnation's numbering anew, and be accepted again and again.
            text = f"envelope of an ended incarnation of {envelope.sender}"
            raise PeerError(text, ResultCode.PEER_UNAUTHENTIC)
        elif state.incarnation != envelope.incarnation:
            past_incarnations = (*state.past_incarnations, state.incarnation)[
                -MAX_PAST_INCARNATIONS:
            ]
            state = _SenderState(envelope.incarnation, past_incarnations)
            self._new_incarnation_of = envelope.sender
        self._senders[envelope.sender] = state
        return state
