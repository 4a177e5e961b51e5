"""Admission of a request: its route, customer and deadlines."""

import msgspec

from hemlockhoist.base import BadRequest, ResultCode, RouteChanged
from hemlockhoist.decisions.entry import chained_hashes
from hemlockhoist.decisions.quarantine import part_hashes
from hemlockhoist.declarations import KeyedCustomer, Route
from hemlockhoist.entry.wire import CallerCall

# Number of ranks a route may have. The customer's rank is the more significant part of
# the combined rank.
ROUTE_RANKS = 1_000
# Expected output where the caller gives no estimate, as a fraction of the maximum that
# it requested.
OUTPUT_FRACTION = 0.15
DEFAULT_MAX_WAIT_MS = 30_000


class AdmittedCall(msgspec.Struct, frozen=True, kw_only=True):
    """An admitted request with everything that governs its execution.

    Parameters
    ==========
    call : CallerCall
    route : Route
    customer : KeyedCustomer or None
        None on routes that allow anonymous requests.
    pool : str
    arrived_ms, deadline_ms, target_by_ms, waits_until_ms : int
        On this host's clock: the arrival, when the final response is due, until when a
        response is on time, and when the caller disconnects if it has received nothing.
    prefix_hashes : tuple of int
        Hashes of its prefix blocks, each chained to the preceding ones.
    fingerprint : int
        Identifies the request if its caller sends it again; 0 until its body was read.
    routes_version : int
        The version of the routes that it was matched with.
    """

    call: CallerCall
    route: Route
    customer: KeyedCustomer | None
    pool: str
    arrived_ms: int
    deadline_ms: int
    target_by_ms: int
    waits_until_ms: int
    prefix_hashes: tuple[int, ...] = ()
    fingerprint: int = 0
    routes_version: int = 0

    @property
    def parts(self):
        """Hashes of the prompt's parts that other requests may share.

        The last part is the request's own, or its session's.
        """
        return part_hashes(self.call.block_names[:-1])

    def identified(self, fingerprints, body):
        """Return this call with its fingerprint.

        Parameters
        ==========
        fingerprints : RequestFingerprints
        body : bytes
        """
        call = self.call
        fingerprint = fingerprints.of(
            self.customer.name if self.customer else "",
            call.method,
            call.host + call.target,
            body,
            call.block_names,
        )
        return msgspec.structs.replace(self, fingerprint=fingerprint)

    @property
    def prefix_tokens(self):
        """Token count of each prefix block."""
        return tuple(count for _, count in self.call.prefix_blocks)

    @property
    def regions(self):
        """Regions its body may be sent to; empty for any."""
        customer_regions = self.customer.regions if self.customer else ()
        return common_regions(self.route.regions, customer_regions)

    @property
    def rank(self):
        """Combined tier rank of customer and route; 0 is the highest."""
        customer_rank = self.customer.rank if self.customer else 0
        return customer_rank * ROUTE_RANKS + self.route.rank

    @property
    def tier(self):
        """Label of its tier in metrics: the customer's rank and the route's."""
        customer_rank = self.customer.rank if self.customer else 0
        return f"{customer_rank}-{self.route.rank}"

    @property
    def units(self):
        """Units charged to its customer's quota."""
        quota = self.customer.quota if self.customer else None
        if quota is None:
            return 0
        if quota.counts_tokens and self.call.states_tokens:
            return self.call.prompt_tokens + self.call.max_output_tokens
        return quota.default_request_units

    @property
    def output_tokens(self):
        """Expected number of output tokens."""
        hinted = self.call.expected_output_tokens
        if hinted:
            return min(hinted, self.call.max_output_tokens or hinted)
        return int(OUTPUT_FRACTION * self.call.max_output_tokens)


def requires_key(route, table):
    """Return whether requests for a route of a table need a customer's key."""
    return table.requires_keys and not route.allows_anonymous


def common_regions(first, second):
    """Return the regions allowed by two declarations; empty for any.

    Disjoint declarations allow no region at all, which is represented by one empty
    region name.

    Examples
    ========
    >>> from hemlockhoist.entry.admission import common_regions
    >>> common_regions(("north", "south"), ("south",)), common_regions((), ("south",))
    (('south',), ('south',))
    >>> common_regions(("north",), ("south",)), common_regions((), ())
    (('',), ())
    """
    if not first or not second:
        return tuple(first or second)
    return tuple(item for item in first if item in second) or ("",)


def _allows(route, admitted):
    """Return whether a route still sends an admitted request as it was to be sent.

    Its pool may have another share of the traffic.
    """
    previous = msgspec.structs.replace(admitted.route, shares=route.shares)
    pools = (share.pool for share in route.shares if share.weight)
    return route == previous and admitted.pool in pools


def _is_same_customer(customer, previous):
    """Return whether a request may be sent for a customer as it was for another one."""
    if customer is None or previous is None:
        return False
    return (customer.name, customer.regions) == (previous.name, previous.regions)


def _customer_changed():
    return RouteChanged("its key is another customer's than at its admission")


class Admission:
    """Determines route and customer of a request, or refuses the request.

    Parameters
    ==========
    store_view : StoreView
    chooser : PoolChooser
    """

    __slots__ = ("_chooser", "_store_view")

    def __init__(self, store_view, chooser):
        self._store_view = store_view
        self._chooser = chooser

    def admit(self, call, arrived_ms):
        """Return the ``AdmittedCall`` of a request.

        Raises
        ======
        BadRequest
            Route or key does not exist.
        Refused
            This host cannot decide: its view of the store is incomplete or stale.
        """
        self._store_view.check_complete()
        table = self._store_view.routes
        route = table.match(call.host, call.path)
        if route is None:
            self._refuse_permanently("no route", ResultCode.NOT_FOUND)
        customer = None
        if requires_key(route, table):
            customer = self.customer_of(call)
        max_wait_ms = call.max_wait_ms
        if max_wait_ms is None:
            max_wait_ms = DEFAULT_MAX_WAIT_MS
        deadline_ms = arrived_ms + min(max_wait_ms, route.timeout_ms)
        waits_until_ms = deadline_ms
        if route.caller_wait_limit_ms:
            waits_until_ms = min(
                waits_until_ms, arrived_ms + route.caller_wait_limit_ms
            )
        return AdmittedCall(
            call=call,
            route=route,
            customer=customer,
            pool=self._chooser.choose(route.name, route.shares),
            arrived_ms=arrived_ms,
            deadline_ms=deadline_ms,
            target_by_ms=arrived_ms + route.target_ms,
            waits_until_ms=waits_until_ms,
            prefix_hashes=chained_hashes(name for name, _ in call.prefix_blocks),
            routes_version=table.version,
        )

    def check_route(self, admitted):
        """Refuse to send a request by a route that has changed since its admission.

        Failure prevented: a request waits for a slot, or its host for processor time,
        while its route is dropped or gets another service. It is sent by the old route
        although the host has the new one.

        Raises
        ======
        RouteChanged
        """
        table = self._store_view.routes
        if table.version == admitted.routes_version:
            return
        route = table.match(admitted.call.host, admitted.call.path)
        if route is None or not _allows(route, admitted):
            raise RouteChanged(
                f"admitted by routes {admitted.routes_version}, changed in a version "
                f"up to {table.version}"
            )

    def check_unchanged(self, admitted):
        """Refuse to let a request wait that has to be admitted again.

        Its place among those that wait, and the time that it has left, were found for
        a route and a customer that are no longer its own.

        Raises
        ======
        RouteChanged
        """
        table = self._store_view.routes
        if table.version == admitted.routes_version:
            return
        self.check_route(admitted)
        if admitted.customer is None and not self._requires_key(admitted.route):
            return
        if not _is_same_customer(
            table.customer_of(admitted.call.key), admitted.customer
        ):
            raise _customer_changed()

    def check_customer(self, admitted, may_have_run):
        """Refuse to send a request for another customer than holds its key now.

        Failure prevented: a request waits for a slot while its key goes to another
        customer, and is run and accounted for the previous one.

        Parameters
        ==========
        admitted : AdmittedCall
        may_have_run : bool
            Whether an attempt may have run it, for its customer at that time.

        Raises
        ======
        RouteChanged
            The request has to be admitted again.
        BadRequest, Refused
        """
        if admitted.customer is None and not self._requires_key(admitted.route):
            return
        customer = self.customer_of(admitted.call)
        if _is_same_customer(customer, admitted.customer):
            return
        if may_have_run:
            raise BadRequest("", ResultCode.UNKNOWN_KEY)
        raise _customer_changed()

    def _requires_key(self, route):
        return requires_key(route, self._store_view.routes)

    def customer_of(self, call):
        """Return the customer that holds the key of a request now.

        Raises
        ======
        BadRequest, Refused
        """
        customer = self._store_view.routes.customer_of(call.key) if call.key else None
        if customer is None:
            self._refuse_permanently("", ResultCode.UNKNOWN_KEY)
        self._store_view.check_fresh()
        return customer

    def _refuse_permanently(self, text, code):
        """Refuse permanently a request that the routes in force do not cover."""
        self._store_view.check_final()
        raise BadRequest(text, code)
