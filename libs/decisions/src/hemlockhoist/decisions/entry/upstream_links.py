"""Which upstreams one host can reach by its own links, as it has found."""

import msgspec

# Upstreams of a pool to which the links must be lost before all of its upstreams are
# taken to be out of reach.
LOST_FOR_POOL = 2
# Upstreams of a pool that are remembered as reached.
MAX_REACHED = 2
# Intervals of the probes of one lost link. A cut lasts seconds, and a probe is one
# connection.
FIRST_PROBE_MS = 250
MAX_PROBE_MS = 2_000


class LostLink(msgspec.Struct):
    """A link to an upstream over which no connection can be made.

    Parameters
    ==========
    pool, address : str
        The pool and the address of the upstream.
    lost_ms : int
    is_confirmed : bool
        Whether another host was seen to reach the upstream meanwhile.
    probe_due_ms, probe_interval_ms : int
    """

    pool: str
    address: str
    lost_ms: int
    is_confirmed: bool = False
    probe_due_ms: int = 0
    probe_interval_ms: int = FIRST_PROBE_MS


class UpstreamLinks:
    """Tracks the links of one host to upstreams; only lost ones use memory.

    Load: a host that callers, the store and other hosts reach has lost its links to
    some or all upstreams. Each of its requests would first try the lost links, and
    callers would wait for that at every request.

    Two confirmed losses in a pool stand for the whole pool until any of its upstreams
    is reached again, since a host that loses its links mostly loses all of them. The
    host's own probes find out when links are back, one connection at a time.

    Examples
    ========
    >>> from hemlockhoist.decisions.entry import UpstreamLinks
    >>> links = UpstreamLinks()
    >>> links.on_failed("halls", "u1", "ip:1", now_ms=0)
    >>> links.is_lost("halls", "u1"), links.is_lost("halls", "u2")
    (True, False)
    >>> links.on_failed("halls", "u2", "ip:2", now_ms=5)
    >>> for upstream_id in ("u1", "u2"):
    ...     links.confirm(upstream_id)
    >>> links.is_lost("halls", "u3"), links.next_probe(250)
    (True, 'u1')
    >>> links.on_connected("halls", "u1", "ip:1", now_ms=260)
    True
    >>> links.is_lost("halls", "u2"), links.is_lost("halls", "u3")
    (True, False)
    """

    __slots__ = ("_lost", "_lost_pools", "_reached")

    def __init__(self):
        self._lost = {}
        # For each pool, the last two upstreams reached by this host's own links, with
        # their addresses and the time.
        self._reached = {}
        self._lost_pools = set()

    def on_connected(self, pool, upstream_id, address, now_ms):
        """Record a connection that was made; return whether the link had been lost."""
        reached = self._reached.setdefault(pool, {})
        reached.pop(upstream_id, None)
        reached[upstream_id] = (address, now_ms)
        if len(reached) > MAX_REACHED:
            del reached[next(iter(reached))]
        was_lost = self._lost.pop(upstream_id, None) is not None
        self._lost_pools.discard(pool)
        if was_lost:
            # The links of a host mostly come back together.
            for link in self._lost.values():
                link.probe_due_ms = now_ms
        return was_lost

    def on_failed(self, pool, upstream_id, address, now_ms):
        """Record that no connection could be made to an upstream."""
        link = self._lost.get(upstream_id)
        if link is None:
            link = self._lost[upstream_id] = LostLink(pool, address, now_ms)
        else:
            link.probe_interval_ms = min(MAX_PROBE_MS, 2 * link.probe_interval_ms)
        link.probe_due_ms = now_ms + link.probe_interval_ms

    def confirm(self, upstream_id):
        """Record that another host reaches an upstream that this one could not."""
        link = self._lost.get(upstream_id)
        if link is None:
            return
        link.is_confirmed = True
        confirmed = sum(
            item.is_confirmed for item in self._lost.values() if item.pool == link.pool
        )
        if confirmed >= LOST_FOR_POOL:
            self._lost_pools.add(link.pool)

    def forget(self, upstream_id):
        """Forget a lost link: the upstream itself was at fault, or is gone."""
        self._lost.pop(upstream_id, None)

    def set_listed(self, upstream_ids):
        """Forget the links to upstreams that are not listed.

        Parameters
        ==========
        upstream_ids : collection of str
        """
        self._lost = {k: v for k, v in self._lost.items() if k in upstream_ids}
        pools = {link.pool for link in self._lost.values()}
        self._lost_pools &= pools

    def is_lost(self, pool, upstream_id):
        """Return whether a request should not try this host's own link first."""
        return upstream_id in self._lost or pool in self._lost_pools

    def is_pool_lost(self, pool):
        """Return whether the links to all upstreams of a pool are taken to be lost."""
        return pool in self._lost_pools

    def lost_since_ms(self, upstream_id):
        """Return when the link to an upstream was found lost, or None."""
        link = self._lost.get(upstream_id)
        return None if link is None else link.lost_ms

    def lost_in(self, pool):
        """Return the upstreams of a pool to which the links were found lost, sorted."""
        return sorted(key for key, link in self._lost.items() if link.pool == pool)

    def count_by_pool(self):
        """Return the number of lost links by pool."""
        counts = {}
        for link in self._lost.values():
            counts[link.pool] = counts.get(link.pool, 0) + 1
        return counts

    def has_reached_since(self, pool, begun_ms):
        """Return whether an upstream of a pool was reached since a time."""
        reached = self._reached.get(pool, {})
        return any(at_ms >= begun_ms for _, at_ms in reached.values())

    def other_address(self, pool, upstream_id):
        """Return the address of another upstream that was reached last, or None.

        A connection to it shows whether this host's links or the upstream are at fault
        for one that failed.
        """
        others = [
            address
            for key, (address, _) in self._reached.get(pool, {}).items()
            if key != upstream_id
        ]
        return others[-1] if others else None

    def next_probe(self, now_ms):
        """Return the upstream whose lost link is to be probed now, or None."""
        due = [
            (link.probe_due_ms, key)
            for key, link in self._lost.items()
            if link.probe_due_ms <= now_ms
        ]
        return min(due)[1] if due else None

    def next_probe_ms(self):
        """Return when the next probe is due, or None while no link is lost."""
        return min((link.probe_due_ms for link in self._lost.values()), default=None)

    def link(self, upstream_id):
        """Return the ``LostLink`` of an upstream, or None."""
        return self._lost.get(upstream_id)
