"""Upper bound on the age of a host's knowledge of the store."""


class Freshness:
    """Bounds the age of the newest reading of the store.

    A host that is cut off from the store keeps serving from its last reading; a key
    revoked by an operator in the meantime must not remain valid for longer than
    declared. Each reading proves the state of the store at one time on the store's
    clock. That time is converted to this host's clock so that the result is never later
    than the true time.

    The two clocks run at the same rate. An answer is produced after its call was sent,
    so each call gives a bound on the offset between the clocks, and the tightest bound
    stays valid. A long poll that waited seconds for changes therefore proves the time
    of its answer, and not only the time at which it was sent.

    All times are on a clock that includes suspensions: after one, the proof has aged
    accordingly.

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
        """Record a reading by this host itself.

        Parameters
        ==========
        sent_ms : int
            When the call was sent, on this host's clock.
        store_ms : int
            Time of the answer, on the store's clock.
        """
        self._record_offset(sent_ms - store_ms)
        self._record_proven(max(sent_ms, store_ms + self._offset_ms))

    def record_relayed(self, sent_ms, store_ms, clock_ms):
        """Record a reading that another host relayed to this one.

        The reading may be older than the request for it. The other host's estimate of
        the store's clock is never late, so it bounds the offset as an answer of the
        store itself does. The remaining error is that the estimate is early by the
        duration of the other host's fastest call.

        Parameters
        ==========
        sent_ms : int
            When the request was sent, on this host's clock.
        store_ms : int
            Time of the reading, on the store's clock.
        clock_ms : int
            Time of the store's clock when the other host replied, or later.
        """
        self._record_offset(sent_ms - clock_ms)
        self._record_proven(store_ms + self._offset_ms)

    def _record_offset(self, offset_ms):
        if self._offset_ms is None or offset_ms > self._offset_ms:
            self._offset_ms = offset_ms

    def _record_proven(self, proven_ms):
        if self._proven_ms is None or proven_ms > self._proven_ms:
            self._proven_ms = proven_ms

    def age_ms(self, now_ms):
        """Return the maximum age of the newest proof, or None if there is none."""
        if self._proven_ms is None:
            return None
        return now_ms - self._proven_ms

    def store_ms(self, now_ms):
        """Return the estimated store clock time, or 0 before the first reading."""
        return 0 if self._offset_ms is None else now_ms - self._offset_ms
