"""The grants in flight of one pool shard, and the recently ended requests."""

import collections

# How long the id of an ended request is kept. A submit whose answer was slow is
# repeated, and the repeat arrives within the peers' retry time.
ENDED_TTL_MS = 10_000
# Bound on the number of these ids, for a burst of requests of a few milliseconds each.
MAX_ENDED = 20_000


class InFlightGrant:
    """A grant that an entry host holds.

    Parameters
    ==========
    request : hemlockhoist.decisions.WorkRequest
    grant : hemlockhoist.decisions.Grant
    granted_ms : int
    cost_ms : float
        Predicted time for which it holds its slot.
    in_flight_at_grant : int
        Requests in flight at its upstream when it was granted, including itself.
    first_token_reported : bool
        Whether its first token was reported before the end of the answer.
    prompt_wait_ms : float
        Predicted time of the prompts that its upstream computes before its own.
    pending_tokens : int
        Prompt tokens that its upstream still has to compute, as far as known.
    expected_blocks : int
        Leading prompt blocks that were expected in the upstream's prefix cache.
    slowdowns : tuple of float
        Possible processing times of its upstream as multiples of the usual one, at its
        grant, its first token and its end.
    """

    __slots__ = (
        "cost_ms",
        "expected_blocks",
        "first_token_reported",
        "grant",
        "granted_ms",
        "in_flight_at_grant",
        "pending_tokens",
        "prompt_wait_ms",
        "request",
        "slowdowns",
    )

    def __init__(self, request, grant, granted_ms, cost_ms):
        self.request = request
        self.grant = grant
        self.granted_ms = granted_ms
        self.cost_ms = cost_ms
        self.in_flight_at_grant = 1
        self.prompt_wait_ms = 0.0
        self.pending_tokens = 0
        self.first_token_reported = False
        self.expected_blocks = 0
        self.slowdowns = ()


class GrantTable:
    """Counts grants in flight by upstream, customer and entry host.

    Adding and removing are idempotent by grant id: peers repeat messages whose answer
    was lost, and a count that changed twice would stay wrong permanently.
    """

    __slots__ = (
        "_by_entry_host",
        "_by_grant",
        "_by_request",
        "_customers",
        "_ended",
        "_in_flight",
    )

    def __init__(self):
        self._by_grant = {}
        self._by_request = {}
        self._by_entry_host = {}
        self._in_flight = collections.Counter()
        self._customers = collections.Counter()
        self._ended = collections.OrderedDict()

    def __len__(self):
        return len(self._by_grant)

    def add(self, held):
        """Add a grant; return False if it is already counted."""
        grant_id = held.grant.grant_id
        if grant_id in self._by_grant:
            return False
        self._by_grant[grant_id] = held
        self._by_request[held.request.request_id] = held
        grants = self._by_entry_host.setdefault(held.request.entry_host, set())
        grants.add(grant_id)
        self._in_flight[held.grant.upstream_id] += 1
        self._customers[held.request.customer] += 1
        return True

    def remove(self, grant_id):
        """Remove and return a grant, or return None if it is unknown."""
        held = self._by_grant.pop(grant_id, None)
        if held is None:
            return None
        request = held.request
        if self._by_request.get(request.request_id) is held:
            del self._by_request[request.request_id]
        grants = self._by_entry_host[request.entry_host]
        grants.discard(grant_id)
        if not grants:
            del self._by_entry_host[request.entry_host]
        _decrement(self._in_flight, held.grant.upstream_id)
        _decrement(self._customers, request.customer)
        return held

    def get(self, grant_id):
        """Return a grant, or None."""
        return self._by_grant.get(grant_id)

    def besides_version(self, version):
        """Return the number of grants in flight at upstreams of other versions."""
        return sum(held.grant.version != version for held in self._by_grant.values())

    def of_request(self, request_id):
        """Return the grant of a request, or None."""
        return self._by_request.get(request_id)

    def of_entry_host(self, host_id):
        """Return the ids of the grants that an entry host holds, sorted."""
        return sorted(self._by_entry_host.get(host_id, ()))

    def in_flight(self, upstream_id):
        """Return the number of grants for an upstream."""
        return self._in_flight.get(upstream_id, 0)

    def of_customer(self, customer):
        """Return the number of grants of a customer."""
        return self._customers.get(customer, 0)

    def past_deadline(self, before_ms):
        """Return the ids of grants with a request deadline before ``before_ms``."""
        return [
            grant_id
            for grant_id, held in self._by_grant.items()
            if held.request.deadline_ms < before_ms
        ]

    def all_grants(self):
        """Return all grants in flight."""
        return self._by_grant.values()

    def record_ended(self, request_id, now_ms):
        """Record that a request was dispatched and has ended."""
        self._ended[request_id] = now_ms
        if len(self._ended) > MAX_ENDED:
            self._ended.popitem(last=False)

    def has_ended(self, request_id):
        """Return whether a request was dispatched and ended recently."""
        return request_id in self._ended

    def forget_ended(self, now_ms):
        """Forget the requests that ended at least ``ENDED_TTL_MS`` ago."""
        while self._ended:
            request_id, at_ms = next(iter(self._ended.items()))
            if now_ms - at_ms < ENDED_TTL_MS:
                return
            del self._ended[request_id]


def _decrement(counts, name):
    counts[name] -= 1
    if counts[name] <= 0:
        del counts[name]
