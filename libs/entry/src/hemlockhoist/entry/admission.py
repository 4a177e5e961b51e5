"""From a request's head to the route, customer and times that govern it."""

import msgspec

from hemlockhoist.base import BadRequest, ResultCode
from hemlockhoist.decisions.entry import chained_hashes
from hemlockhoist.declarations import KeyedCustomer, Route
from hemlockhoist.entry.wire import CallerCall

# Ranks of customers go before those of routes: the two make one order.
ROUTE_RANKS = 1_000
# What a request is taken to generate where its caller gives no estimate, as a part of
# the most that it asked for.
OUTPUT_FRACTION = 0.15
DEFAULT_MAX_WAIT_MS = 30_000


class AdmittedCall(msgspec.Struct, frozen=True, kw_only=True):
    """A request that may be served.

    Parameters
    ==========
    call : CallerCall
    route : Route
    customer : KeyedCustomer or None
        None on routes without a key.
    pool : str
    arrived_ms, deadline_ms, target_by_ms, leaves_ms : int
        On this host's clock: when it came, when its final answer is due, until when an
        answer is in time, and when its caller leaves if nothing of it has come.
    prefix_hashes : tuple of int
        Of the parts of its prompt, each chained to those before it.
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

    @property
    def prefix_tokens(self):
        """The tokens of each part of its prompt."""
        return tuple(count for _, count in self.call.prefix_blocks)

    @property
    def regions(self):
        """Where its body may go; empty for anywhere."""
        customer_regions = self.customer.regions if self.customer else ()
        return common_regions(self.route.regions, customer_regions)

    @property
    def rank(self):
        """Its place in the order of tiers; 0 is the highest."""
        customer_rank = self.customer.rank if self.customer else 0
        return customer_rank * ROUTE_RANKS + self.route.rank

    @property
    def tier(self):
        """The name of its tier, for metrics: the customer's rank and the route's."""
        customer_rank = self.customer.rank if self.customer else 0
        return f"{customer_rank}-{self.route.rank}"

    @property
    def units(self):
        """What it counts as against its customer's allowance."""
        quota = self.customer.quota if self.customer else None
        if quota is None:
            return 0
        if quota.counts_tokens and self.call.states_tokens:
            return self.call.prompt_tokens + self.call.max_output_tokens
        return quota.default_request_units

    @property
    def output_tokens(self):
        """How many tokens it is expected to generate."""
        hinted = self.call.expected_output_tokens
        if hinted:
            return min(hinted, self.call.max_output_tokens or hinted)
        return int(OUTPUT_FRACTION * self.call.max_output_tokens)


def common_regions(first, second):
    """Return the regions that two declarations allow; empty for anywhere.

    Where they have none in common, the request may go nowhere: the name of no region
    stands for that.

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


class Admission:
    """Finds route and customer of a request, or refuses it.

    Parameters
    ==========
    store_view : Knowledge
    chooser : PoolChooser
    """

    __slots__ = ("_chooser", "_store_view")

    def __init__(self, store_view, chooser):
        self._store_view = store_view
        self._chooser = chooser

    def admit(self, call, arrived_ms):
        """Return the ``AdmittedCall``.

        Raises
        ======
        BadRequest
            No such route, or no such key.
        Refused
            This host can not tell, as it knows too little or nothing fresh.
        """
        self._store_view.check_complete()
        table = self._store_view.routes
        route = table.match(call.host, call.path)
        if route is None:
            self._refuse_for_good("no route", ResultCode.NOT_FOUND)
        customer = None
        if table.requires_keys and not route.allows_anonymous:
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
        )

    def customer_of(self, call):
        """Return the customer that holds a request's key, now.

        Raises
        ======
        BadRequest, Refused
        """
        customer = self._store_view.routes.customer_of(call.key) if call.key else None
        if customer is None:
            self._refuse_for_good("", ResultCode.UNKNOWN_KEY)
        self._store_view.check_fresh()
        return customer

    def _refuse_for_good(self, text, code):
        """Refuse a request that can not be served under the routes in force.

        Failure: a host is cut off from the store while a route or a key is added. It
        would send callers away for good with what all other hosts serve. So where the
        routes are not proven fresh, they are told to come back.
        """
        self._store_view.check_fresh()
        raise BadRequest(text, code)
