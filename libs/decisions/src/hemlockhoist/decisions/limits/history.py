"""How much of the fleet's recent past a new home has not been told."""

import msgspec

# Pools of one home are taken over together, one after the other.
SAME_TAKEOVER_MS = 100


class UnknownPast(msgspec.Struct, frozen=True, kw_only=True):
    """The part of a window's past that nobody could tell.

    Parameters
    ==========
    part : float
        Of the hosts, by number: those that had not run for a window when they were
        asked, or were not heard of.
    since_ms : int
        From when on everything is known.
    """

    part: float = 0.0
    since_ms: int = 0

    def share(self, window_ms, now_ms):
        """Return which part of the window that ends now is not known.

        It is not less for a later moment of the same window: what is not known may all
        have been spent just before.

        Examples
        ========
        >>> from hemlockhoist.decisions.limits import UnknownPast
        >>> past = UnknownPast(part=0.5, since_ms=1_000)
        >>> past.share(window_ms=8_000, now_ms=3_000)
        0.5
        >>> past.share(window_ms=8_000, now_ms=9_000)
        0.0
        """
        return self.part if now_ms - self.since_ms < window_ms else 0.0


class SpendingHistory:
    """Which hosts have told a home what was spent before it took over.

    Failure: all hosts are killed while a customer is at its bound. The new home finds
    nothing spent, and gives the whole window's allowance once more; so it does for the
    retries. Hosts that were not running a window ago can not tell what was spent then.

    Parameters
    ==========
    window_ms : int
    now_ms : int
        When the home took over.

    Examples
    ========
    >>> from hemlockhoist.decisions.limits import SpendingHistory
    >>> history = SpendingHistory(window_ms=8_000, now_ms=0)
    >>> history.ask({"a", "b"})
    >>> history.unknown().part
    1.0
    >>> history.tell("a", up_ms=60_000)
    >>> history.unknown().part
    0.5
    """

    __slots__ = ("_asked", "_since_ms", "_told", "_window_ms")

    def __init__(self, window_ms, now_ms):
        self._window_ms = window_ms
        self._since_ms = now_ms
        self._asked = set()
        self._told = set()

    def is_of(self, now_ms):
        """Return whether it is that of a takeover now, of another pool."""
        return now_ms - self._since_ms < SAME_TAKEOVER_MS

    def ask(self, hosts):
        """Take notice of the hosts that the home asks."""
        self._asked.update(hosts)

    def tell(self, host, up_ms):
        """Take notice of a host's answer, and of how long it had run by then."""
        self._asked.add(host)
        if up_ms >= self._window_ms:
            self._told.add(host)

    def unknown(self):
        """Return the ``UnknownPast`` as it stands."""
        part = 1.0 - len(self._told) / max(1, len(self._asked))
        return UnknownPast(part=part, since_ms=self._since_ms)
