"""Which entries of hosts that are gone may be dropped from the store."""

# A host that was cut off for less than this finds its entry as it left it. Regions may
# part for an hour; beyond it, hosts are replaced and their addresses given to others.
KEPT_MS = 3_600_000


class StaleEntries:
    """Finds the entries of hosts that have not been live for long.

    Load: some hundred hosts are replaced a day, and one that is killed drops no entry.
    Harm without it: the list grows without end, and each host probes addresses at which
    nobody or somebody else listens.

    Parameters
    ==========
    kept_ms : int, optional
        How long an entry is kept after its host was last seen live.

    Examples
    ========
    >>> from hemlockhoist.decisions.entry import StaleEntries
    >>> stale = StaleEntries(kept_ms=100)
    >>> stale.find({"a": 1, "b": 2}, live=["a"], now_ms=0)
    ()
    >>> stale.find({"a": 1, "b": 2}, live=["a"], now_ms=100)
    ('b',)
    """

    __slots__ = ("_kept_ms", "_seen_ms")

    def __init__(self, kept_ms=KEPT_MS):
        self._kept_ms = kept_ms
        self._seen_ms = {}

    def find(self, listed, live, now_ms):
        """Return the entries that may be dropped.

        Parameters
        ==========
        listed : mapping of str to int
            The entries there are, with their versions.
        live : iterable of str
            The hosts that are live.
        now_ms : int
        """
        live = set(live)
        # An entry is first taken for one of a live host: this host may be the one
        # that has just come back. So is one that was written anew.
        self._seen_ms = {
            entry: now_ms if entry[0] in live else self._seen_ms.get(entry, now_ms)
            for entry in listed.items()
        }
        return tuple(
            key
            for (key, _), seen_ms in self._seen_ms.items()
            if now_ms - seen_ms >= self._kept_ms
        )
