"""Upstreams that asked a host not to send them requests for a while."""

from hemlockhoist.decisions.incarnations import Incarnations
from hemlockhoist.messages import BackedOffUpstream

# A garbled time must not take an upstream out of use for days.
MAX_BACK_OFF_MS = 300_000


class BackOffs:
    """Tracks until when upstreams want no requests from one host.

    An upstream that turns a request away may ask the host that sent it, and only that
    one, to back off for a time.

    Examples
    ========
    >>> from hemlockhoist.decisions.entry import BackOffs
    >>> back_offs = BackOffs()
    >>> back_offs.record("halls", "u1", 3_000, now_ms=1_000)
    True
    >>> back_offs.record("halls", "u1", 1_000, now_ms=1_500)
    False
    >>> back_offs.remaining_ms("u1", 1_500), back_offs.remaining_ms("u2", 1_500)
    (2500, 0)
    >>> back_offs.count_by_pool(now_ms=4_000)
    {}
    """

    __slots__ = ("_incarnations", "_until")

    def __init__(self):
        self._incarnations = Incarnations()
        # By upstream: its pool, and the time at which its back-off ends.
        self._until = {}

    def record(self, pool, upstream_id, back_off_ms, now_ms):
        """Record what an answer asks for; return whether that ends later than before.

        Parameters
        ==========
        pool, upstream_id : str
        back_off_ms : int
            0 if the answer asks for nothing.
        now_ms : int
        """
        until_ms = now_ms + min(back_off_ms, MAX_BACK_OFF_MS)
        if until_ms <= now_ms + self.remaining_ms(upstream_id, now_ms):
            return False
        self._until[upstream_id] = (pool, until_ms)
        return True

    def remaining_ms(self, upstream_id, now_ms):
        """Return for how long an upstream still wants no requests."""
        _, until_ms = self._until.get(upstream_id, ("", now_ms))
        return max(0, until_ms - now_ms)

    def set_listed(self, upstreams, now_ms):
        """Forget what has passed, and upstreams that are gone or have restarted."""
        ended = self._incarnations.replace(upstreams, now_ms)
        self._until = {
            key: entry
            for key, entry in self._until.items()
            if key not in ended and entry[1] > now_ms
        }

    def report(self, pool, now_ms):
        """Return the upstreams of a pool that want no requests from this host now.

        Returns
        =======
        tuple of BackedOffUpstream
        """
        return tuple(
            BackedOffUpstream(upstream_id=upstream_id, remaining_ms=until_ms - now_ms)
            for upstream_id, (name, until_ms) in self._until.items()
            if name == pool and until_ms > now_ms
        )

    def count_by_pool(self, now_ms):
        """Return the number of upstreams that want no requests now, by pool."""
        counts = {}
        for pool, until_ms in self._until.values():
            if until_ms > now_ms:
                counts[pool] = counts.get(pool, 0) + 1
        return counts
