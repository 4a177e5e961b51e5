"""Which connections of callers a host keeps when its descriptors run short."""

import collections

from hemlockhoist.base import MS_PER_S

# Sockets that listen, connections to the store, those of readiness checks, operators
# and metrics, and files.
RESERVED_DESCRIPTORS = 64
# At each address for readiness checks, operators and metrics.
STATUS_CONNECTIONS = 8
# Callers connect to the directory for one answer each.
MAX_DIRECTORY_CONNECTIONS = 128
MIN_DIRECTORY_CONNECTIONS = 8
DIRECTORY_SHARE = 1 / 32
# Requests relayed for other hosts, each with a connection to its upstream.
MAX_RELAY_CONNECTIONS = 64
MIN_RELAY_CONNECTIONS = 16
RELAY_SHARE = 1 / 64
# Connections at the address for other hosts on which no host has proved itself yet.
MIN_UNPROVEN_CONNECTIONS = 16
UNPROVEN_SHARE = 1 / 16
# A host holds one connection to each peer, and one from each.
DESCRIPTORS_PER_PEER = 2
# A caller's connection, and the one to the upstream of its request.
DESCRIPTORS_PER_CALLER = 2
# However many peers there are, callers get this share.
MIN_CALLER_SHARE = 0.25
# Connections beyond the limit, whose requests are refused at once: a caller that is
# told when to come back is better off than one that waits to be accepted.
MAX_REFUSED = 16
# Without a room's worth of connections below the limit, a host that was full would take
# one caller and be full again.
FREE_SHARE = 0.125
# A caller sends a whole head within this time of connecting, less the fuller the host
# is. Callers that connect ahead of their requests have this long.
HEAD_TIMEOUT_MS = 20 * MS_PER_S
MIN_HEAD_TIMEOUT_MS = 500
# The same where others wait to be accepted: a caller sends its head with the first packet
# after those that connect it, some round trips later at most.
MIN_SILENT_MS = 25
# An idle connection is kept for longer than any declared idle time by the HTTP server,
# and for less where the host is fuller than this.
CROWDED_SHARE = 0.5
CROWDED_IDLE_MS = 15 * MS_PER_S
# No single address keeps more idle connections than this share when room is short.
MAX_ADDRESS_SHARE = 0.5


def caller_limit(max_descriptors, peer_count):
    """Return how many connections callers may hold; 0 for no limit.

    Parameters
    ==========
    max_descriptors : int
        What the process may open for sockets; 0 if that is not known.
    peer_count : int

    Examples
    ========
    >>> from hemlockhoist.decisions.entry.connection_table import caller_limit
    >>> [caller_limit(3_900, peers) for peers in (7, 80, 1_300)]
    [1790, 1717, 497]
    >>> caller_limit(0, 7)
    0
    """
    if not max_descriptors:
        return 0
    free = max_descriptors - RESERVED_DESCRIPTORS - DESCRIPTORS_PER_PEER * peer_count
    free -= directory_limit(max_descriptors)
    free -= DESCRIPTORS_PER_CALLER * relay_limit(max_descriptors)
    free = max(free, int(MIN_CALLER_SHARE * max_descriptors))
    return max(1, free // DESCRIPTORS_PER_CALLER)


def directory_limit(max_descriptors):
    """Return how many connections the directory of hosts may hold.

    Examples
    ========
    >>> from hemlockhoist.decisions.entry import directory_limit
    >>> [directory_limit(most) for most in (0, 250, 3_900, 20_000)]
    [128, 8, 121, 128]
    """
    return _share_of(
        max_descriptors,
        DIRECTORY_SHARE,
        MIN_DIRECTORY_CONNECTIONS,
        MAX_DIRECTORY_CONNECTIONS,
    )


def relay_limit(max_descriptors):
    """Return how many connections other hosts may hold for relayed requests.

    Examples
    ========
    >>> from hemlockhoist.decisions.entry import relay_limit
    >>> [relay_limit(most) for most in (0, 250, 3_900, 20_000)]
    [64, 16, 60, 64]
    """
    return _share_of(
        max_descriptors, RELAY_SHARE, MIN_RELAY_CONNECTIONS, MAX_RELAY_CONNECTIONS
    )


def unproven_limit(max_descriptors):
    """Return how many connections may be open on which no host has proved itself.

    Examples
    ========
    >>> from hemlockhoist.decisions.entry import unproven_limit
    >>> [unproven_limit(most) for most in (0, 250, 3_900)]
    [16, 16, 243]
    """
    return max(MIN_UNPROVEN_CONNECTIONS, int(UNPROVEN_SHARE * max_descriptors))


def _share_of(max_descriptors, share, least, most):
    """Return a share of the descriptors within bounds; the most if they are unknown."""
    if not max_descriptors:
        return most
    return max(least, min(most, int(share * max_descriptors)))


class CallerConnection:
    """One connection of a caller.

    Parameters
    ==========
    address : str
        Of the caller.
    since_ms : int
        When it was accepted, or when its last request ended.

    Attributes
    ==========
    open_requests : int
    has_asked : bool
        Whether a whole head has ever come on it.
    is_beyond_limit : bool
        Whether there was no room for it when it was accepted.
    """

    __slots__ = (
        "address",
        "has_asked",
        "is_beyond_limit",
        "open_requests",
        "since_ms",
    )

    def __init__(self, address, since_ms):
        self.address = address
        self.since_ms = since_ms
        self.is_beyond_limit = False
        self.open_requests = 0
        self.has_asked = False

    @property
    def is_busy(self):
        """Whether a request is in progress."""
        return self.open_requests > 0


class ConnectionTable:
    """The connections of callers on one host, and which of them make room for others.

    Load: callers that were cut off come again on new connections while their old ones
    live on, callers open connections and send nothing, or a head a byte at a time, and
    all callers of lost hosts come to those that are left. A host without a descriptor
    serves nobody, and can't reach its store, peers and upstreams either.

    A connection with a request is never closed. Of the others, the one that has been
    idle longest goes first: of an address that holds more than its share before all,
    then those that have been silent since they were opened, but for the youngest.

    Attributes
    ==========
    limit : int
        How many connections callers may hold; 0 for no limit.
    """

    __slots__ = ("_by_address", "_connections", "limit")

    def __init__(self, limit=0):
        self.limit = limit
        self._connections = {}
        self._by_address = collections.Counter()

    def __len__(self):
        return len(self._connections)

    def __iter__(self):
        return iter(tuple(self._connections))

    @property
    def busy_count(self):
        """Number of connections with a request in progress."""
        return sum(item.is_busy for item in self._connections.values())

    def get(self, key):
        """Return the ``CallerConnection`` of a key, or None."""
        return self._connections.get(key)

    def add(self, key, address, now_ms):
        """Add a connection that was accepted."""
        self._connections[key] = CallerConnection(address, now_ms)
        self._by_address[address] += 1

    def mark_beyond_limit(self, key):
        """Record that no connection could make room for one that was accepted."""
        self._connections[key].is_beyond_limit = True

    def remove(self, key):
        """Remove a connection that has ended."""
        connection = self._connections.pop(key, None)
        if connection is None:
            return
        self._by_address[connection.address] -= 1
        if not self._by_address[connection.address]:
            del self._by_address[connection.address]

    def on_request(self, key):
        """Record that a request has come on a connection."""
        connection = self._connections.get(key)
        if connection is not None:
            connection.has_asked = True
            connection.open_requests += 1

    def on_response(self, key, now_ms):
        """Record that a request has ended."""
        connection = self._connections.get(key)
        if connection is not None:
            connection.open_requests -= 1
            connection.since_ms = now_ms

    def may_accept(self, pending=0):
        """Return whether one more connection may be accepted, if only to be refused.

        Parameters
        ==========
        pending : int, optional
            Connections that are being set up, and not in the table yet.
        """
        return not self.limit or len(self) + pending < self.limit + MAX_REFUSED

    @property
    def is_over_limit(self):
        """Whether there are more connections than the limit allows."""
        return bool(self.limit) and len(self) > self.limit

    def refuses(self, key):
        """Return whether a request on a connection is refused for want of room."""
        connection = self._connections.get(key)
        if connection is None or not connection.is_beyond_limit:
            return False
        return self.busy_count > self.limit

    def to_close_for_room(self, now_ms):
        """Return the key of the connection that makes room for a new one, or None."""
        idle = [
            (self._is_over_share(item), *self._room_rank(item, now_ms), key)
            for key, item in self._connections.items()
            if self._is_idle(item, now_ms)
        ]
        if not idle:
            return None
        return max(idle, key=lambda entry: entry[:-1])[-1]

    def _room_rank(self, connection, now_ms):
        """Return how soon an idle connection makes room, as a tuple to compare."""
        idle_ms = now_ms - connection.since_ms
        is_silent = not connection.has_asked and idle_ms >= MIN_HEAD_TIMEOUT_MS
        return is_silent, connection.has_asked, idle_ms

    def to_close(self, now_ms):
        """Return the keys of the connections that have been kept for long enough."""
        is_crowded = bool(self.limit) and len(self) > CROWDED_SHARE * self.limit
        found = []
        for key, item in self._connections.items():
            if item.is_busy:
                continue
            if item.has_asked and not is_crowded:
                continue
            limit_ms = CROWDED_IDLE_MS if item.has_asked else self.head_timeout_ms()
            if now_ms - item.since_ms >= limit_ms:
                found.append(key)
        return found

    def head_timeout_ms(self):
        """Return the time within which a caller has to send its first whole head."""
        if not self.limit:
            return HEAD_TIMEOUT_MS
        left_share = max(0.0, 1.0 - len(self) / self.limit)
        return max(MIN_HEAD_TIMEOUT_MS, int(left_share * HEAD_TIMEOUT_MS))

    def is_full(self, was_full):
        """Return whether the host can't take a new caller.

        Parameters
        ==========
        was_full : bool
            It then is full until some room is left.
        """
        if not self.limit:
            return False
        taken = self.busy_count
        if was_full:
            return taken > (1.0 - FREE_SHARE) * self.limit
        return taken >= self.limit

    def _is_idle(self, connection, now_ms):
        if connection.is_busy:
            return False
        idle_ms = now_ms - connection.since_ms
        return connection.has_asked or idle_ms >= MIN_SILENT_MS

    def _is_over_share(self, connection):
        count = self._by_address[connection.address]
        return len(self._by_address) > 1 and count > MAX_ADDRESS_SHARE * self.limit
