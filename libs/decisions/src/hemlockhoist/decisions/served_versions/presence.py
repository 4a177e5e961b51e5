"""Which versions of a pool are deployed, and which are known to be gone.

All entries of upstreams expire in an outage of the store, and those of live upstreams
are back within two seconds of its end, each at another moment. A version that is not
listed is therefore gone only once the store has answered for longer than that.
"""

import collections

import msgspec

from hemlockhoist.decisions.work import UpstreamState

# Entries of live upstreams are back two seconds after an outage at the latest; the rest
# is for their way to this host.
RETURN_MS = 3_000
# After upstreams have vanished without announcing that they leave.
VANISHED_MS = 1_000
# Longest time between two readings during which no outage can have made entries expire:
# they live for three intervals of 1.2 s, of which one may have passed.
MAX_READING_GAP_MS = 2_000
# Versions remembered for each pool, the latest ones.
MAX_VERSIONS = 32


class StoreUptime:
    """For how long the store has answered this host, directly or through another.

    Examples
    ========
    >>> from hemlockhoist.decisions.served_versions import StoreUptime
    >>> uptime = StoreUptime()
    >>> for store_ms in range(0, 5_000, 1_000):
    ...     uptime.record_reading(store_ms, now_ms=store_ms)
    >>> uptime.stable_ms(4_500)
    4500
    >>> uptime.record_failure()
    >>> uptime.stable_ms(4_600)
    0
    """

    __slots__ = ("_read_ms", "_since_ms", "_store_ms")

    def __init__(self):
        self._since_ms = None
        self._read_ms = 0
        self._store_ms = 0

    def record_reading(self, store_ms, now_ms):
        """Record a reading.

        Parameters
        ==========
        store_ms : int
            Time of the answer on the store's clock.
        now_ms : int
        """
        if store_ms < self._store_ms:
            return
        gap_ms = max(store_ms - self._store_ms, now_ms - self._read_ms)
        if self._since_ms is None or gap_ms > MAX_READING_GAP_MS:
            self._since_ms = now_ms
        self._store_ms, self._read_ms = store_ms, now_ms

    def record_failure(self):
        """Record a call that failed."""
        self._since_ms = None

    def stable_ms(self, now_ms):
        """Return for how long there was no outage that lets entries expire, or 0."""
        if self._since_ms is None or now_ms - self._read_ms > MAX_READING_GAP_MS:
            return 0
        return now_ms - self._since_ms


class PoolPresence(msgspec.Struct, frozen=True, kw_only=True):
    """Versions of a pool as this host knows them at one moment.

    Parameters
    ==========
    deployed : mapping of str to int
        Number of upstreams by version, without leaving ones. Those of an evacuated
        failure domain count.
    live : frozenset of str
        Versions with an upstream that accepts work.
    missing : frozenset of str
        Versions that were deployed, are not listed, and may be back.
    gone : frozenset of str
        Versions that were deployed and are known to be gone.
    is_settled : bool
        Whether a version that was never listed here is known not to be deployed.
    listed_versions : mapping of str to int
        By version, the store's version at which its first upstream was listed.
    """

    deployed: collections.Counter = msgspec.field(default_factory=collections.Counter)
    live: frozenset = frozenset()
    missing: frozenset = frozenset()
    gone: frozenset = frozenset()
    is_settled: bool = True
    listed_versions: dict = msgspec.field(default_factory=dict)

    def is_gone(self, version):
        """Return whether a version is known to have no upstream."""
        if self.deployed.get(version) or version in self.missing:
            return False
        return self.is_settled or version in self.gone

    def is_older(self, version, order):
        """Return whether a version was deployed before an order was given."""
        return self.listed_versions.get(version, order.store_version) < (
            order.store_version
        )


class _Version:
    """What is known of one version of a pool."""

    __slots__ = ("ids", "is_gone", "is_live", "listed_version", "vanished_ms")

    def __init__(self):
        self.ids = frozenset()
        self.is_live = False
        self.is_gone = False
        self.listed_version = 0
        self.vanished_ms = None


class VersionPresence:
    """Follows which versions of the pools are deployed."""

    __slots__ = ("_pools",)

    def __init__(self):
        self._pools = collections.defaultdict(dict)

    def observe(self, upstreams, now_ms):
        """Record the usable upstreams of all pools, leaving ones among them.

        Parameters
        ==========
        upstreams : iterable of Upstream
        now_ms : int
        """
        listed = {item.upstream_id for item in upstreams}
        deployed = collections.defaultdict(list)
        for item in upstreams:
            if item.state is not UpstreamState.LEAVING:
                deployed[item.pool, item.version].append(item)
        for pool, versions in self._pools.items():
            for name, version in versions.items():
                if (pool, name) not in deployed:
                    _update(version, (), listed, now_ms)
        for (pool, name), items in deployed.items():
            version = self._pools[pool].setdefault(name, _Version())
            _update(version, items, listed, now_ms)
            self._forget_oldest(pool)

    def _forget_oldest(self, pool):
        versions = self._pools[pool]
        absent = [name for name, item in versions.items() if not item.ids]
        for name in absent[: max(0, len(versions) - MAX_VERSIONS)]:
            del versions[name]

    def pool(self, name, now_ms, stable_ms):
        """Return the ``PoolPresence`` of a pool.

        Parameters
        ==========
        name : str
        now_ms : int
        stable_ms : int
            As returned by ``StoreUptime.stable_ms``.
        """
        is_settled = stable_ms >= RETURN_MS
        versions = self._pools.get(name, {})
        for item in versions.values():
            if not item.ids and is_settled and _is_past(item.vanished_ms, now_ms):
                item.is_gone = True
        deployed = {key: item for key, item in versions.items() if item.ids}
        absent = {key: item for key, item in versions.items() if not item.ids}
        return PoolPresence(
            deployed=collections.Counter(
                {key: len(item.ids) for key, item in deployed.items()}
            ),
            live=frozenset(key for key, item in deployed.items() if item.is_live),
            missing=frozenset(x for x, item in absent.items() if not item.is_gone),
            gone=frozenset(x for x, item in absent.items() if item.is_gone),
            is_settled=is_settled,
            listed_versions={key: x.listed_version for key, x in deployed.items()},
        )


def _update(version, items, listed, now_ms):
    """Record the upstreams of a version that are deployed now."""
    ids = frozenset(item.upstream_id for item in items)
    if version.ids - ids - listed:
        version.vanished_ms = now_ms
    if ids:
        found = min(item.listed_version for item in items)
        is_back = version.is_gone or not version.listed_version
        version.listed_version = (
            found if is_back else min(found, version.listed_version)
        )
        version.is_gone = False
    version.ids = ids
    version.is_live = any(item.state is UpstreamState.LIVE for item in items)


def _is_past(vanished_ms, now_ms):
    return vanished_ms is None or now_ms - vanished_ms >= VANISHED_MS
