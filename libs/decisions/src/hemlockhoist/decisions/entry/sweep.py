"""Removal of the store entries of hosts that are gone."""

# A host that was cut off for less than this finds its entry unchanged. Regions may be
# partitioned for an hour; after that, hosts are replaced and their addresses reused.
RETENTION_MS = 3_600_000


class StaleEntries:
    """Finds the entries of hosts that have not been live for a long time.

    Some hundred hosts are replaced per day, and a host that is killed does not remove
    its entry. Without removal the list grows without bound, and each host probes
    addresses at which no host or another process listens.

    Parameters
    ==========
    retention_ms : int, optional
        Time for which an entry is kept after its host was last seen live.

    Examples
    ========
    >>> from hemlockhoist.decisions.entry import StaleEntries
    >>> stale = StaleEntries(retention_ms=100)
    >>> stale.find({"a": 1, "b": 2}, live=["a"], now_ms=0)
    ()
    >>> stale.find({"a": 1, "b": 2}, live=["a"], now_ms=100)
    ('b',)
    """

    __slots__ = ("_retention_ms", "_seen_ms")

    def __init__(self, retention_ms=RETENTION_MS):
        self._retention_ms = retention_ms
        self._seen_ms = {}

    def find(self, listed, live, now_ms):
        """Return the keys of the entries that may be removed.

        Parameters
        ==========
        listed : mapping of str to int
            Versions of the existing entries, by key.
        live : iterable of str
            Keys of the live hosts.
        now_ms : int
        """
        live = set(live)
        # An entry seen for the first time counts as that of a live host, as this host
        # may have just restarted. So does an entry that was rewritten.
        self._seen_ms = {
            entry: now_ms if entry[0] in live else self._seen_ms.get(entry, now_ms)
            for entry in listed.items()
        }
        return tuple(
            key
            for (key, _), seen_ms in self._seen_ms.items()
            if now_ms - seen_ms >= self._retention_ms
        )
