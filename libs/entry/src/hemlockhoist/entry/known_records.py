"""The pools whose record of moves this host knows, from the store or another host."""

# How long a pool waits for its record where neither the store nor another host tells
# it. After that, callers are served by the list of upstreams alone.
RECORD_WAIT_MS = 3_000


class KnownRecords:
    """Tells whether the record of a pool's moves is known here.

    Failure prevented: all hosts are killed, and those that start know orders and
    upstreams at once. Until they have read the record, a version that was found bad
    would serve like any other.

    Parameters
    ==========
    clock : Clock
    """

    __slots__ = ("_clock", "_known", "_wanted_ms")

    def __init__(self, clock):
        self._clock = clock
        self._known = set()
        # Since when a pool's record has been wanted.
        self._wanted_ms = {}

    def add(self, pool):
        """Record that a pool's record has been read, or was told by another host."""
        self._known.add(pool)
        self._wanted_ms.pop(pool, None)

    def want(self, pool):
        """Record that a pool's record has to be read, unless it is known."""
        if pool not in self._known:
            self._wanted_ms.setdefault(pool, self._clock.now_ms())

    def has(self, pool):
        """Return whether a pool's record is known, or is not to be waited for."""
        if pool in self._known:
            return True
        self.want(pool)
        waited_ms = self._clock.now_ms() - self._wanted_ms[pool]
        return waited_ms >= RECORD_WAIT_MS

    def wanted(self):
        """Return the pools whose record has to be read."""
        return tuple(self._wanted_ms)
