"""Checks of received envelopes: order, duplicates and delay."""

from hemlockhoist.base import PeerError, ResultCode

# Number of past incarnations remembered for each sender. A host restarts less than
# once a day, and a frame of an earlier process is not delayed for days.
MAX_PAST_INCARNATIONS = 16
# Envelopes behind the latest one that are still accepted. What a sender wrote before it
# replaced its connection arrives up to some seconds after what it wrote next.
WINDOW_SIZE = 1_024
_WINDOW_MASK = (1 << WINDOW_SIZE) - 1


class _SenderState:
    """State of one incarnation of a sender."""

    __slots__ = (
        "incarnation",
        "last_received_ms",
        "min_offset_ms",
        "past_incarnations",
        "sequence",
        "_window",
    )

    def __init__(self, incarnation, past_incarnations):
        self.incarnation = incarnation
        self.past_incarnations = past_incarnations
        self.sequence = 0
        # Bit n is set if the envelope n places before the latest one has arrived.
        self._window = 0
        self.min_offset_ms = None
        self.last_received_ms = None

    def take(self, sequence):
        """Record an envelope; return whether it has not arrived before.

        Older ones than the window holds count as arrived.
        """
        if sequence > self.sequence:
            shift = min(sequence - self.sequence, WINDOW_SIZE)
            self._window = (self._window << shift | 1) & _WINDOW_MASK
            self.sequence = sequence
            return True
        behind = self.sequence - sequence
        if sequence < 1 or behind >= WINDOW_SIZE or self._window >> behind & 1:
            return False
        self._window |= 1 << behind
        return True


class Inbox:
    """Accepts each envelope once, in any order, and measures its delay.

    A grant that waited in the socket buffer of a suspended process looks new when it
    is read. The delay is the difference between the times of arrival and sending, less
    the smallest such difference of that sender, which is the delay beyond the minimum.
    The two clocks need not agree but must run at the same rate.

    Parameters
    ==========
    address : str
        Address of the receiver.

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
        """Return the delay of an envelope beyond the minimum, in milliseconds.

        Raises
        ======
        PeerError
            ``PEER_UNAUTHENTIC`` if the envelope is for another host, belongs to a past
            incarnation of its sender, or is a duplicate.
        """
        if envelope.receiver != self._address:
            text = f"envelope is addressed to {envelope.receiver}"
            raise PeerError(text, ResultCode.PEER_UNAUTHENTIC)
        state = self._update_state(envelope)
        if not state.take(envelope.sequence):
            text = f"envelope {envelope.sequence} of {envelope.sender} is a duplicate"
            raise PeerError(text, ResultCode.PEER_UNAUTHENTIC)
        state.last_received_ms = now_ms
        offset_ms = now_ms - envelope.sent_ms
        if state.min_offset_ms is None or offset_ms < state.min_offset_ms:
            state.min_offset_ms = offset_ms
        return offset_ms - state.min_offset_ms

    def last_received_ms(self, sender):
        """Return when the last envelope of a sender arrived, or None."""
        state = self._senders.get(sender)
        return state.last_received_ms if state is not None else None

    def is_new_incarnation(self, sender):
        """Return whether the last envelope was a sender's first after a restart."""
        return self._new_incarnation_of == sender

    def forget(self, sender):
        """Drop the state of a host that has left the fleet."""
        self._senders.pop(sender, None)

    def _update_state(self, envelope):
        """Return the state of the sender's incarnation, which is reset on a restart."""
        state = self._senders.get(envelope.sender)
        self._new_incarnation_of = ""
        if state is None:
            state = _SenderState(envelope.incarnation, ())
        elif envelope.incarnation in state.past_incarnations:
            # Otherwise a delayed frame from before a restart would reset the sequence
            # numbers of that incarnation and could be accepted repeatedly.
            text = f"envelope of a past incarnation of {envelope.sender}"
            raise PeerError(text, ResultCode.PEER_UNAUTHENTIC)
        elif state.incarnation != envelope.incarnation:
            past_incarnations = (*state.past_incarnations, state.incarnation)[
                -MAX_PAST_INCARNATIONS:
            ]
            state = _SenderState(envelope.incarnation, past_incarnations)
            self._new_incarnation_of = envelope.sender
        self._senders[envelope.sender] = state
        return state
