"""The declared routes: which requests go to which pool, for whom, and how.

Where callers address the fleet by host name and path, operators declare routes. A
``RouteTable`` is that declaration at one version, with what a request needs to be
admitted: routes, the customers' keys and allowances, and limits on requests.
"""

import enum

import msgspec

# Requests of a customer without a rank of its own stand beside those of the highest.
DEFAULT_CUSTOMER_RANK = 0


class CallKind(enum.Enum):
    """What may be repeated on a route."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


class PoolShare(msgspec.Struct, frozen=True, kw_only=True):
    """A part of a route's traffic.

    Parameters
    ==========
    pool : str
    weight : int
        In relation to the route's other shares.
    """

    pool: str
    weight: int


class Route(msgspec.Struct, frozen=True, kw_only=True):
    """Requests that are handled alike.

    Parameters
    ==========
    name, host : str
    prefix : str
        Begins and ends with a slash.
    kind : CallKind
    timeout_ms : int
        The longest that a caller is kept waiting for the end of its answer.
    target_ms : int
        An answer (of a stream: its first event) within this time is in time.
    max_gap_ms : int
        Of a stream: the longest pause between events of an answer that is in time; 0
        where none is declared.
    caller_wait_limit_ms : int
        Of a stream: a caller that gets no event for this long leaves; 0 where callers
        wait for the whole time that they state.
    rank : int
        0 is the highest.
    shares : tuple of PoolShare
    max_attempts : int
        Upstreams that one request may be sent to, the first included.
    allows_anonymous : bool
        Whether it takes requests without a key.
    is_resumable : bool
        Whether a stream may be continued by another upstream.
    regions : tuple of str
        Where its requests may be sent; empty for anywhere.
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
        """Whether running a request again does no harm."""
        return self.kind is CallKind.IDEMPOTENT or self.is_resumable


class EngineSpec(msgspec.Struct, frozen=True, kw_only=True):
    """What is declared of the engines of a model pool.

    Parameters
    ==========
    batch_size : int
        Requests that an engine works on at once.
    cache_tokens : int
        Tokens that its memory holds.
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
        That one upstream takes from all hosts together.
    engine : EngineShape or None
        None for a plain service.
    cold_ms : int
        For how long an upstream is cold after its start.
    cold_requests_per_s : float
        What a cold upstream bears; 0 where that is not bounded.
    """

    name: str
    max_connections: int
    engine: EngineSpec | None = None
    cold_ms: int = 0
    cold_requests_per_s: float = 0.0


class RequestLimits(msgspec.Struct, frozen=True, kw_only=True):
    """What a caller may send, and how long it may take or be idle."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: int = 3_000
    idle_timeout_ms: int = 15_000


class Quota(msgspec.Struct, frozen=True, kw_only=True):
    """How much a customer may send, over all hosts.

    Parameters
    ==========
    units_per_s, burst_units : int
        Tokens where ``counts_tokens``, else requests.
    counts_tokens : bool
    default_request_units : int
        What a request without a token count counts as.
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
        Goes before the route's rank.
    quota : Quota or None
        None for no limit.
    regions : tuple of str
        Where its requests may be sent; empty for anywhere.
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
        Empty where no route asks for a key.
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
        """Whether requests carry a key, but on open routes."""
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
        """Return all regions that some routes of a host name are bound to."""
        routes = self._by_host.get(host, {}).values()
        return tuple({region for route in routes for region in route.regions})

    def pool(self, name):
        """Return the pool of that name, or None."""
        return self._pools.get(name)

    def customer(self, name):
        """Return the customer of that name, or None."""
        return self._customers.get(name)

    def customer_of(self, key):
        """Return the customer that holds a key, or None."""
        return self._by_key.get(key)

    def match(self, host, path):
        """Return the route with the longest prefix that begins the path, or None.

        Prefixes end with a slash, so that only the path's own slashes are tried: the
        cost does not grow with the number of routes.
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
