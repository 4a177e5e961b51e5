"""How old what a host knows of the store may be, at worst."""


class Freshness:
    """Bounds the age of the newest reading of the store.

    A host that is cut off from the store goes on serving under what it last read; a
    key that an operator takes away meanwhile must not open anything for longer than
    declared. So each reading proves what held at one moment of the store's clock, and
    that moment is placed on this host's clock never too late.

    The two clocks run at one speed. An answer's moment lies after its call left, so
    each call gives a bound on the offset between the clocks, and the tightest of them
    stays valid. A call that waited seconds for changes then proves the moment of its
    answer, and not only that of its sending.

    All times are on a clock that counts suspensions: after one, the proof is old by
    itself.

    Examples
    ========
    >>> from hemlockhoist.decisions.entry import Freshness
    >>> freshness = Freshness()
    >>> freshness.age_ms(now_ms=1_000) is None
    True
    >>> freshness.record(sent_ms=1_000, store_ms=52_005)
    >>> freshness.record(sent_ms=1_010, store_ms=54_010)
    >>> freshness.age_ms(now_ms=3_500)
    495
    """

    __slots__ = ("_offset_ms", "_proven_ms")

    def __init__(self):
        self._offset_ms = None
        self._proven_ms = None

    def record(self, sent_ms, store_ms):
        """Take a reading of this host's own.

        Parameters
        ==========
        sent_ms : int
            When the call left, on this host's clock.
        store_ms : int
            The moment of the answer, on the store's clock.
        """
        self._note_offset(sent_ms - store_ms)
        self._note_proven(max(sent_ms, store_ms + self._offset_ms))

    def record_relayed(self, sent_ms, store_ms, clock_ms):
        """Take another host's reading that was passed on to this one.

        The reading may be older than the question for it. The other host's account of
        the store's clock is never late, so that it bounds the offset as an answer of
        the store's own does: what is left is that it is early by the other's quickest
        answer.

        Parameters
        ==========
        sent_ms : int
            When the question left, on this host's clock.
        store_ms : int
            The moment of the reading, on the store's clock.
        clock_ms : int
            The store's clock when the answer left the other host, or later.
        """
        self._note_offset(sent_ms - clock_ms)
        self._note_proven(store_ms + self._offset_ms)

    def _note_offset(self, offset_ms):
        if self._offset_ms is None or offset_ms > self._offset_ms:
            self._offset_ms = offset_ms

    def _note_proven(self, proven_ms):
        if self._proven_ms is None or proven_ms > self._proven_ms:
            self._proven_ms = proven_ms

    def age_ms(self, now_ms):
        """Return the age of the newest proof at most, or None where there is none."""
        if self._proven_ms is None:
            return None
        return now_ms - self._proven_ms

    def store_ms(self, now_ms):
        """Return the time of the store's clock, or 0 before the first reading."""
        return 0 if self._offset_ms is None else now_ms - self._offset_ms
