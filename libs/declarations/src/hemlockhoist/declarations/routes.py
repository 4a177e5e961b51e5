"""The declared routes of requests to pools, with customers and request limits.

Operators declare routes for callers that address the fleet by host name and path. A
``RouteTable`` holds the declaration at one version, with all that is needed to admit a
request: routes, the customers' keys and quotas, and limits on requests.
"""

import enum

import msgspec

# Customers without a rank of their own have the highest rank.
DEFAULT_CUSTOMER_RANK = 0


class CallKind(enum.Enum):
    """Kind of the calls on a route, which decides whether they may be repeated."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


class PoolShare(msgspec.Struct, frozen=True, kw_only=True):
    """A pool's share of the traffic of a route.

    Parameters
    ==========
    pool : str
    weight : int
        Weight relative to the route's other shares.
    """

    pool: str
    weight: int


class Route(msgspec.Struct, frozen=True, kw_only=True):
    """A class of requests with common handling, selected by host name and path.

    Parameters
    ==========
    name, host : str
    prefix : str
        Path prefix that begins and ends with a slash.
    kind : CallKind
    timeout_ms : int
        Longest time that a caller waits for the end of its answer.
    target_ms : int
        Time within which an answer (for a stream, its first event) is on time.
    max_gap_ms : int
        For a stream, the longest gap between events of an answer that is on time; 0 if
        none is declared.
    caller_wait_limit_ms : int
        For a stream, the time without an event after which a caller disconnects; 0 if
        callers wait for the full time that they state.
    rank : int
        0 is the highest.
    shares : tuple of PoolShare
    max_attempts : int
        Maximum number of upstreams that a request is sent to, including the first.
    allows_anonymous : bool
        Whether requests without a key are accepted.
    is_resumable : bool
        Whether a stream may be continued by another upstream.
    regions : tuple of str
        Regions that its requests may be sent to; empty for all.
    """

    name: str
    host: str
    prefix: str
    kind: CallKind
    timeout_ms: int
    target_ms: int
    max_gap_ms: int = 0
    caller_wait_limit_ms: int = 0
    rank: int = 0
    shares: tuple[PoolShare, ...] = ()
    max_attempts: int = 1
    allows_anonymous: bool = False
    is_resumable: bool = False
    regions: tuple[str, ...] = ()

    @property
    def is_repeatable(self):
        """Whether a request may be run again without harm."""
        return self.kind is CallKind.IDEMPOTENT or self.is_resumable


class EngineSpec(msgspec.Struct, frozen=True, kw_only=True):
    """Declared properties of the engines of a model pool.

    Parameters
    ==========
    batch_size : int
        Number of requests that an engine processes concurrently.
    cache_tokens : int
        Capacity of its KV cache in tokens.
    tokens_per_event : int
    """

    batch_size: int
    cache_tokens: int
    tokens_per_event: int = 1


class RoutedPool(msgspec.Struct, frozen=True, kw_only=True):
    """The upstreams of one service.

    Parameters
    ==========
    name : str
    max_connections : int
        Maximum number of connections to one upstream from all hosts together.
    engine : EngineSpec or None
        None for a plain service.
    cold_ms : int
        Time after its start during which an upstream is cold.
    cold_requests_per_s : float
        Maximum request rate of a cold upstream; 0 for no limit.
    """

    name: str
    max_connections: int
    engine: EngineSpec | None = None
    cold_ms: int = 0
    cold_requests_per_s: float = 0.0


class RequestLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Limits on the size of requests, on the time to send headers and on idle time."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: int = 3_000
    idle_timeout_ms: int = 15_000


class Quota(msgspec.Struct, frozen=True, kw_only=True):
    """Rate limit of a customer, across all hosts.

    Parameters
    ==========
    units_per_s, burst_units : int
        In tokens if ``counts_tokens`` is set, in requests otherwise.
    counts_tokens : bool
    default_request_units : int
        Units charged for a request without a token count.
    """

    units_per_s: int
    burst_units: int
    counts_tokens: bool = False
    default_request_units: int = 1


class KeyedCustomer(msgspec.Struct, frozen=True, kw_only=True):
    """A customer and the keys of its callers.

    Parameters
    ==========
    name : str
    keys : tuple of str
    rank : int
        Takes precedence over the route's rank.
    quota : Quota or None
        None for no limit.
    regions : tuple of str
        Regions that its requests may be sent to; empty for all.
    """

    name: str
    keys: tuple[str, ...] = ()
    rank: int = DEFAULT_CUSTOMER_RANK
    quota: Quota | None = None
    regions: tuple[str, ...] = ()


class RouteTable:
    """The declared routes, customers and limits at one version.

    Parameters
    ==========
    version : int
    routes : sequence of Route
    pools : sequence of RoutedPool
    customers : sequence of KeyedCustomer
        Empty if no route requires a key.
    limits : RequestLimits

    Examples
    ========
    >>> from hemlockhoist.declarations import CallKind, Route, RouteTable
    >>> def route(name, prefix):
    ...     return Route(name=name, host="halls.example", prefix=prefix,
    ...                  kind=CallKind.IDEMPOTENT, timeout_ms=800, target_ms=400)
    >>> table = RouteTable(3, [route("all", "/"), route("free", "/free/")])
    >>> table.match("halls.example", "/free/7").name
    'free'
    >>> table.match("halls.example", "/freedom/7").name
    'all'
    >>> table.match("other.example", "/free/7") is None
    True
    """

    __slots__ = (
        "_by_host",
        "_by_key",
        "_customers",
        "_pools",
        "limits",
        "routes",
        "version",
    )

    def __init__(self, version, routes, pools=(), customers=(), limits=None):
        self.version = version
        self.routes = tuple(routes)
        self.limits = limits or RequestLimits()
        self._pools = {pool.name: pool for pool in pools}
        self._customers = {item.name: item for item in customers}
        self._by_key = {key: item for item in customers for key in item.keys}
        self._by_host = {}
        for route in self.routes:
            self._by_host.setdefault(route.host, {})[route.prefix] = route

    @property
    def requires_keys(self):
        """Whether requests need a key, except on routes that allow anonymous ones."""
        return bool(self._customers)

    @property
    def pools(self):
        """All declared pools."""
        return tuple(self._pools.values())

    @property
    def customers(self):
        """All declared customers."""
        return tuple(self._customers.values())

    def regions_of(self, host):
        """Return all regions that routes of a host name are restricted to."""
        routes = self._by_host.get(host, {}).values()
        return tuple({region for route in routes for region in route.regions})

    def pool(self, name):
        """Return the pool with a given name, or None."""
        return self._pools.get(name)

    def customer(self, name):
        """Return the customer with a given name, or None."""
        return self._customers.get(name)

    def customer_of(self, key):
        """Return the customer that holds a key, or None."""
        return self._by_key.get(key)

    def match(self, host, path):
        """Return the route with the longest matching path prefix, or None.

        Prefixes end with a slash, so only prefixes that end at a slash of the path are
        looked up, and the cost does not depend on the number of routes.
        """
        prefixes = self._by_host.get(host)
        if prefixes is None:
            return None
        end = path.rfind("/")
        while end >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None
