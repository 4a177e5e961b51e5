"""Idle connections to upstreams that are kept for further requests."""

import msgspec

# More than the slots of most upstreams are not needed, and one upstream must not use up
# what all may keep.
MAX_PER_UPSTREAM = 4
# A grant request names at most so many upstreams; each costs some 10 to 30 bytes.
MAX_NAMED = 8
# An upstream whose answers can't be told apart on a kept connection gets one request more
# for it in this time, and connections of their own for the others.
SUSPENSION_MS = 60_000
# At design size, a host uses some thousands of upstreams. One that is dropped here is
# suspended again by its next such answer.
MAX_SUSPENDED = 1_024


class _Kept(msgspec.Struct, frozen=True):
    connection: object
    pool: str
    upstream_id: str
    address: str
    until_ms: int


class KeptConnections:
    """Keeps idle connections by upstream, bounded in number and in time.

    Load: hundreds of short requests a second to some dozens of upstreams, where a new
    connection is expensive. The connection that was used last is used first, so that
    those that are not needed reach their idle time.

    Parameters
    ==========
    max_count : int
        Connections to all upstreams; beyond it the one that is idle longest is closed.
    max_per_upstream : int, optional

    Examples
    ========
    >>> import contextlib
    >>> from hemlockhoist.upstreams.kept_connections import KeptConnections
    >>> kept = KeptConnections(max_count=10)
    >>> connection = contextlib.closing(None)
    >>> kept.keep(connection, "halls", "u1", "10.0.0.1:80", until_ms=5_000)
    >>> kept.connected("halls", now_ms=0)
    ('u1',)
    >>> kept.take("u1", "10.0.0.1:80", now_ms=4_999) is connection
    True
    >>> kept.take("u1", "10.0.0.1:80", now_ms=4_999) is None
    True
    """

    __slots__ = (
        "_by_connection",
        "_by_upstream",
        "_max_count",
        "_max_per_upstream",
        "_suspended",
    )

    def __init__(self, max_count, max_per_upstream=MAX_PER_UPSTREAM):
        self._max_count = max_count
        self._max_per_upstream = max_per_upstream
        # In the order in which they became idle.
        self._by_connection = {}
        self._by_upstream = {}
        # When each suspension ends, by upstream and address, the last one begun at the end.
        self._suspended = {}

    def __len__(self):
        return len(self._by_connection)

    def suspend(self, upstream_id, address, now_ms):
        """Keep no connection to an upstream for a while, and close those that are kept.

        Failure prevented: each request that may be repeated runs twice at an upstream
        whose answers are not taken from kept connections, up to the limit on retries.
        """
        # Another process under the id, or at the address, is another upstream.
        upstream = (upstream_id, address)
        self._suspended.pop(upstream, None)
        self._suspended[upstream] = now_ms + SUSPENSION_MS
        if len(self._suspended) > MAX_SUSPENDED:
            del self._suspended[next(iter(self._suspended))]
        for item in list(self._by_upstream.get(upstream_id, ())):
            self._close(item)

    def is_suspended(self, upstream_id, address, now_ms):
        """Return whether no connection to an upstream is to be kept."""
        return now_ms < self._suspended.get((upstream_id, address), now_ms)

    def keep(self, connection, pool, upstream_id, address, until_ms):
        """Keep a connection that has become idle; others may be closed for it.

        Parameters
        ==========
        connection : object
            Hashable by identity, with a method ``close``.
        pool, upstream_id, address : str
        until_ms : int
        """
        item = _Kept(connection, pool, upstream_id, address, until_ms)
        same = self._by_upstream.setdefault(upstream_id, [])
        same.append(item)
        self._by_connection[connection] = item
        if len(same) > self._max_per_upstream:
            self._close(same[0])
        if len(self) > self._max_count:
            self._close(next(iter(self._by_connection.values())))

    def take(self, upstream_id, address, now_ms):
        """Remove and return the connection that was used last, or None.

        Those whose time is over, or that go to another address, are closed.
        """
        while (found := self._by_upstream.get(upstream_id)) is not None:
            item = found[-1]
            if item.address == address and now_ms < item.until_ms:
                self.remove(item.connection)
                return item.connection
            self._close(item)
        return None

    def remove(self, connection):
        """Forget a connection; return whether it was kept."""
        item = self._by_connection.pop(connection, None)
        if item is None:
            return False
        same = self._by_upstream[item.upstream_id]
        same.remove(item)
        if not same:
            del self._by_upstream[item.upstream_id]
        return True

    def connected(self, pool, now_ms):
        """Return the upstreams of a pool to which a connection is kept.

        Returns
        =======
        tuple of str
            The last used first, at most ``MAX_NAMED``.
        """
        found = {}
        for item in reversed(self._by_connection.values()):
            if item.pool == pool and now_ms < item.until_ms:
                found[item.upstream_id] = None
                if len(found) == MAX_NAMED:
                    break
        return tuple(found)

    def set_usable(self, addresses):
        """Close the connections to upstreams that are gone, leave or have moved.

        Parameters
        ==========
        addresses : mapping of str to str
            Address of each upstream that may be assigned work, by id.
        """
        for item in list(self._by_connection.values()):
            if addresses.get(item.upstream_id) != item.address:
                self._close(item)

    def expire(self, now_ms):
        """Close the connections whose idle time is over."""
        for item in list(self._by_connection.values()):
            if now_ms >= item.until_ms:
                self._close(item)

    def close(self):
        """Close all connections."""
        for item in list(self._by_connection.values()):
            self._close(item)

    def _close(self, item):
        self.remove(item.connection)
        item.connection.close()
