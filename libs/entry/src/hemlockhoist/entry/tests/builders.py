"""Routes, calls and readings for the tests of an entry host's parts."""

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
    """Return a customer, with an allowance where ``units_per_s`` is given."""
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
    """Return a reading of some rows."""
    return Reading(rows=tuple(rows), version=version, store_ms=at_ms, sent_ms=at_ms)


class TablePlatform:
    """Rows whose values are the decoded things themselves."""

    config_key = "config"

    def decode_routes(self, value):
        """Return the table, or raise what stands in its place."""
        if isinstance(value, Exception):
            raise value
        return value

    def decode_upstream(self, row, now_ms):
        """Return the upstream."""
        return row.value

    def decode_domain_order(self, row):
        """Return the order that stands in a row, or that a dropped row ends."""
        if not row.key.startswith("evacuate/"):
            return None
        return DomainOrder(
            failure_domain=row.key.removeprefix("evacuate/"),
            is_evacuated=row.value is not None,
            version=row.version,
        )

    def decode_order(self, row):
        """Return the order."""
        return None if row.key.startswith("evacuate/") else row.value


class HostFixture:
    """A host's knowledge on clocks that tests set.

    Attributes
    ==========
    store_view : Knowledge
    boot_ms : int
        The clock that counts suspensions.
    """

    def __init__(self):
        self.boot_ms = 1_000_000
        self.clock = Clock.from_running_loop()
        self.tables = []
        self.orders = []
        self.store_view = StoreView(
            TablePlatform(),
            FleetBounds(),
            self.clock,
            SuspendAwareClock(lambda: self.boot_ms * 1_000_000),
            InvariantLog(fatal=True),
            self.tables.append,
            lambda: None,
            self.orders.append,
        )

    def take_routes(self, routes, version=1):
        """Give the knowledge a row of routes."""
        row = StoreRow(key="config", value=routes, version=version)
        self.store_view.apply_config_rows(reading([row], version), False)

    def take_evacuation(self, domain, version, is_evacuated=True):
        """Give the knowledge an operator's order on a failure domain, or its end."""
        value = "evacuated" if is_evacuated else None
        row = StoreRow(key=f"evacuate/{domain}", value=value, version=version)
        self.store_view.apply_config_rows(reading([row], version), False)

    def take_proof(self):
        """Give the knowledge a reading of now."""
        self.store_view.record_reading(reading((), 1, self.boot_ms))

    def take_upstreams(self, *upstreams):
        """Give the knowledge a whole list."""
        rows = [StoreRow(key=u.upstream_id, value=u, version=1) for u in upstreams]
        self.store_view.apply_upstream_rows(reading(rows, 1), True)

    def know_all(self, routes=None):
        """Read routes and upstreams once."""
        self.take_routes(routes or table())
        self.take_proof()
        self.take_upstreams()
