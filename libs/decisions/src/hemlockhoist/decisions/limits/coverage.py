"""How much of the fleet's recent usage has not been reported to a new home."""

import msgspec

# The pools of one home are taken over together, one after the other.
SAME_TAKEOVER_MS = 100


class UnknownUsage(msgspec.Struct, frozen=True, kw_only=True):
    """The part of the recent usage that no host could report.

    Parameters
    ==========
    fraction : float
        Fraction of the hosts that had been up for less than a window when queried, or
        have not reported.
    since_ms : int
        Time from which all usage is known.
    """

    fraction: float = 0.0
    since_ms: int = 0

    def fraction_at(self, window_ms, now_ms):
        """Return the fraction of usage that is unknown in the window ending now.

        It does not decline within one window: all of the unknown usage may lie just
        before ``since_ms``.

        Examples
        ========
        >>> from hemlockhoist.decisions.limits import UnknownUsage
        >>> unknown = UnknownUsage(fraction=0.5, since_ms=1_000)
        >>> unknown.fraction_at(window_ms=8_000, now_ms=3_000)
        0.5
        >>> unknown.fraction_at(window_ms=8_000, now_ms=9_000)
        0.0
        """
        return self.fraction if now_ms - self.since_ms < window_ms else 0.0


class UsageCoverage:
    """Tracks which hosts have reported the usage before a home took over.

    If all hosts are killed while a customer is at its bound, the new home finds no
    usage and grants the quota of the whole window again; the same holds for retries.
    Hosts that were not running a window ago cannot report the usage of that time.

    Parameters
    ==========
    window_ms : int
    now_ms : int
        When the home took over.

    Examples
    ========
    >>> from hemlockhoist.decisions.limits import UsageCoverage
    >>> coverage = UsageCoverage(window_ms=8_000, now_ms=0)
    >>> coverage.record_queried({"a", "b"})
    >>> coverage.unknown().fraction
    1.0
    >>> coverage.record_report("a", up_ms=60_000)
    >>> coverage.unknown().fraction
    0.5
    """

    __slots__ = ("_queried", "_reported", "_since_ms", "_window_ms")

    def __init__(self, window_ms, now_ms):
        self._window_ms = window_ms
        self._since_ms = now_ms
        self._queried = set()
        self._reported = set()

    def is_same_takeover(self, now_ms):
        """Return whether a takeover at ``now_ms`` is part of this one."""
        return now_ms - self._since_ms < SAME_TAKEOVER_MS

    def record_queried(self, hosts):
        """Record the hosts that the home has queried."""
        self._queried.update(hosts)

    def record_report(self, host, up_ms):
        """Record a host's report, and how long the host had been up by then."""
        self._queried.add(host)
        if up_ms >= self._window_ms:
            self._reported.add(host)

    def unknown(self):
        """Return the ``UnknownUsage`` of the reports received so far."""
        fraction = 1.0 - len(self._reported) / max(1, len(self._queried))
        return UnknownUsage(fraction=fraction, since_ms=self._since_ms)
