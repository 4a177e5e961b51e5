"""Builders of routes, requests, readings and a store view for tests."""

from hemlockhoist.base import Clock, InvariantLog, SuspendAwareClock
from hemlockhoist.decisions.entry import DomainOrder
from hemlockhoist.declarations import (
    CallKind,
    KeyedCustomer,
    PoolShare,
    Quota,
    Route,
    RoutedPool,
    RouteTable,
)
from hemlockhoist.entry.settings import FleetBounds
from hemlockhoist.entry.store_view import StoreView
from hemlockhoist.entry.wire import CallerCall
from hemlockhoist.store import Reading, StoreRow

HOST = "halls.example"
KEY = "key-of-aulas"


def route(name="check", pool="halls", **fields):
    """Return a route ``/NAME/``."""
    values = {
        "host": HOST,
        "prefix": f"/{name}/",
        "kind": CallKind.IDEMPOTENT,
        "timeout_ms": 1_000,
        "target_ms": 300,
        "shares": (PoolShare(pool=pool, weight=1),),
    }
    return Route(name=name, **{**values, **fields})


def customer(name="aulas", key=KEY, units_per_s=0, **fields):
    """Return a customer, with a quota if ``units_per_s`` is given."""
    quota = None
    if units_per_s:
        quota = Quota(units_per_s=units_per_s, burst_units=units_per_s)
    return KeyedCustomer(name=name, keys=(key,), quota=quota, **fields)


def table(version=1, routes=None, customers=None):
    """Return a route table with one pool."""
    return RouteTable(
        version,
        [route()] if routes is None else routes,
        [RoutedPool(name="halls", max_connections=10)],
        [customer()] if customers is None else customers,
    )


def call(path="/check/7", key=KEY, **fields):
    """Return a caller's request."""
    values = {"request_id": "a1", "method": "GET", "host": HOST}
    return CallerCall(target=path, key=key, **{**values, **fields})


def reading(rows, version, at_ms=0):
    """Return a reading of the given rows."""
    return Reading(rows=tuple(rows), version=version, store_ms=at_ms, sent_ms=at_ms)


class EncodedRoutes(bytes):
    """The value of a row of routes, which carries what it decodes to.

    Attributes
    ==========
    decoded : RouteTable or Exception
    """


def encoded(routes):
    """Return the value of a row that decodes to these routes, or to this error."""
    value = EncodedRoutes(b"routes")
    value.decoded = routes
    return value


class FakePlatform:
    """A platform whose rows hold decoded values."""

    config_key = "config"

    def decode_routes(self, value):
        """Return the routes of a value, or raise the error that it carries."""
        if isinstance(value.decoded, Exception):
            raise value.decoded
        return value.decoded

    def decode_upstream(self, row, now_ms):
        """Return the row's upstream."""
        return row.value

    def decode_domain_order(self, row):
        """Return the order of a row, or the end of the order of a removed row."""
        if not row.key.startswith("evacuate/"):
            return None
        return DomainOrder(
            failure_domain=row.key.removeprefix("evacuate/"),
            is_evacuated=row.value is not None,
            version=row.version,
        )

    def decode_order(self, row):
        """Return the row's move order."""
        return None if row.key.startswith("evacuate/") else row.value


class HostFixture:
    """A host's store view, on clocks that tests set.

    Attributes
    ==========
    store_view : StoreView
    boot_ms : int
        The clock that counts suspensions.
    behind_ms : int
        For how long other hosts have told of newer routes; 0 if none has.
    """

    def __init__(self):
        self.boot_ms = 1_000_000
        self.clock = Clock.from_running_loop()
        self.tables = []
        self.orders = []
        self.behind_ms = 0
        self.store_view = StoreView(
            FakePlatform(),
            FleetBounds(),
            self.clock,
            SuspendAwareClock(lambda: self.boot_ms * 1_000_000),
            InvariantLog(fatal=True),
            self.tables.append,
            lambda: None,
            self.orders.append,
            lambda: self.behind_ms,
        )

    def apply_routes(self, routes, version=1):
        """Apply a row of routes to the store view."""
        row = StoreRow(key="config", value=encoded(routes), version=version)
        self.store_view.apply_config_rows(reading([row], version), False)

    def apply_evacuation(self, domain, version, is_evacuated=True):
        """Apply an operator's evacuation order, or its end, to the store view."""
        value = "evacuated" if is_evacuated else None
        row = StoreRow(key=f"evacuate/{domain}", value=value, version=version)
        self.store_view.apply_config_rows(reading([row], version), False)

    def record_proof(self):
        """Record a reading of the current time as proof."""
        self.store_view.record_reading(reading((), 1, self.boot_ms))

    def apply_upstreams(self, *upstreams):
        """Apply a full reading of the list of upstreams."""
        rows = [StoreRow(key=u.upstream_id, value=u, version=1) for u in upstreams]
        self.store_view.apply_upstream_rows(reading(rows, 1), True)

    def apply_all(self, routes=None):
        """Apply routes and upstreams once."""
        self.apply_routes(routes or table())
        self.record_proof()
        self.apply_upstreams()
