"""How much of the fleet's recent past a new home has not been told."""

import msgspec

# Pools of one home are taken over together, one after the other.
SAME_TAKEOVER_MS = 100


class UnknownUsage(msgspec.Struct, frozen=True, kw_only=True):
    """The part of a window's past that nobody could tell.

    Parameters
    ==========
    fraction : float
        Of the hosts, by number: those that had not run for a window when they were
        asked, or were not heard of.
    since_ms : int
        From when on everything is known.
    """

    fraction: float = 0.0
    since_ms: int = 0

    def fraction_at(self, window_ms, now_ms):
        """Return which part of the window that ends now is not known.

        It is not less for a later moment of the same window: what is not known may all
        have been spent just before.

        Examples
        ========
        >>> from hemlockhoist.decisions.limits import UnknownUsage
        >>> past = UnknownUsage(fraction=0.5, since_ms=1_000)
        >>> past.fraction_at(window_ms=8_000, now_ms=3_000)
        0.5
        >>> past.fraction_at(window_ms=8_000, now_ms=9_000)
        0.0
        """
        return self.fraction if now_ms - self.since_ms < window_ms else 0.0


class UsageCoverage:
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
    >>> from hemlockhoist.decisions.limits import UsageCoverage
    >>> history = UsageCoverage(window_ms=8_000, now_ms=0)
    >>> history.record_queried({"a", "b"})
    >>> history.unknown().fraction
    1.0
    >>> history.record_report("a", up_ms=60_000)
    >>> history.unknown().fraction
    0.5
    """

    __slots__ = ("_asked", "_since_ms", "_told", "_window_ms")

    def __init__(self, window_ms, now_ms):
        self._window_ms = window_ms
        self._since_ms = now_ms
        self._asked = set()
        self._told = set()

    def is_same_takeover(self, now_ms):
        """Return whether it is that of a takeover now, of another pool."""
        return now_ms - self._since_ms < SAME_TAKEOVER_MS

    def record_queried(self, hosts):
        """Take notice of the hosts that the home asks."""
        self._asked.update(hosts)

    def record_report(self, host, up_ms):
        """Take notice of a host's answer, and of how long it had run by then."""
        self._asked.add(host)
        if up_ms >= self._window_ms:
            self._told.add(host)

    def unknown(self):
        """Return the ``UnknownUsage`` as it stands."""
        fraction = 1.0 - len(self._told) / max(1, len(self._asked))
        return UnknownUsage(fraction=fraction, since_ms=self._since_ms)
