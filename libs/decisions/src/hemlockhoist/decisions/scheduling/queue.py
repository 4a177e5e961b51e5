"""The request queue of one pool shard: strict tiers, fair queueing within a tier."""

import collections

from sortedcontainers import SortedKeyList, SortedList


class _CustomerQueue:
    """The waiting requests of one customer in one tier."""

    __slots__ = ("cost_ms", "name", "start", "waiting", "weight")

    def __init__(self, name, weight, start):
        self.name = name
        self.weight = weight
        self.start = start
        self.cost_ms = 0.0
        self.waiting = SortedKeyList(key=lambda item: item.sort_key)


class FairQueue:
    """Start-time fair queueing between customers.

    Each customer has a virtual start time that advances by predicted cost over weight
    with every grant; the customer with the earliest one is served next. A customer that
    sends most of the load waits only behind its own requests, and one that was idle
    starts at the current virtual time, so idleness earns no credit.
    """

    __slots__ = (
        "_active",
        "_customers",
        "_idle",
        "_virtual_time",
        "cost_ms",
        "size",
        "weight",
    )

    def __init__(self):
        self._customers = {}
        self._active = SortedList()
        self._idle = {}
        self._virtual_time = 0.0
        self.cost_ms = 0.0
        self.size = 0
        self.weight = 0

    def push(self, waiting):
        """Add a request."""
        customer = self._customer(waiting.request)
        customer.waiting.add(waiting)
        customer.cost_ms += waiting.cost_ms
        self.cost_ms += waiting.cost_ms
        self.size += 1

    def first(self):
        """Return the request that is next, or None."""
        if not self._active:
            return None
        _, name = self._active[0]
        return self._customers[name].waiting[0]

    def take(self):
        """Remove and return the request that is next, or None."""
        waiting = self.first()
        if waiting is not None:
            self.remove(waiting)
        return waiting

    def charge(self, waiting):
        """Charge a request that was taken and granted to its customer's share."""
        name = waiting.request.customer
        step = waiting.cost_ms / max(1, waiting.request.weight)
        customer = self._customers.get(name)
        if customer is None:
            start = max(self._virtual_time, self._idle.get(name, 0.0))
            self._virtual_time = start
            self._idle[name] = start + step
            return
        self._active.remove((customer.start, name))
        self._virtual_time = max(self._virtual_time, customer.start)
        customer.start += step
        self._active.add((customer.start, name))

    def remove(self, waiting):
        """Remove a waiting request."""
        customer = self._customers[waiting.request.customer]
        customer.waiting.remove(waiting)
        customer.cost_ms -= waiting.cost_ms
        self.cost_ms -= waiting.cost_ms
        self.size -= 1
        if not customer.waiting:
            self._deactivate(customer)

    def displacement_candidate(self):
        """Return the last request of the customer furthest above its share, or None."""
        if not self._customers:
            return None
        customer = max(self._customers.values(), key=_backlog_over_weight)
        return customer.waiting[-1]

    def is_displaced_by(self, waiting, request):
        """Return whether a waiting request is displaced by a new one.

        It is if its customer's backlog over weight exceeds that of the customer of
        ``request``, counted with one more request of the same cost.
        """
        theirs = _backlog_over_weight(self._customers[waiting.request.customer])
        own = self._customers.get(request.customer)
        own_ms = own.cost_ms if own is not None else 0.0
        return theirs > (own_ms + waiting.cost_ms) / max(1, request.weight)

    def work_ahead_ms(self, request):
        """Return the predicted work that is served before a new request.

        This is the whole tier's backlog, or less where the customer's fair share lets
        its request be served earlier.
        """
        customer = self._customers.get(request.customer)
        if customer is None:
            own_ms, others = 0.0, self.weight
        else:
            own_ms, others = customer.cost_ms, self.weight - customer.weight
        weight = max(1, request.weight)
        return min(self.cost_ms, own_ms * (others + weight) / weight)

    def forget_idle(self):
        """Drop idle customers whose start time the virtual time has passed."""
        if len(self._idle) > len(self._customers):
            kept = self._idle.items()
            self._idle = {name: at for name, at in kept if at > self._virtual_time}

    def _customer(self, request):
        customer = self._customers.get(request.customer)
        if customer is not None:
            return customer
        start = max(self._virtual_time, self._idle.pop(request.customer, 0.0))
        customer = _CustomerQueue(request.customer, max(1, request.weight), start)
        self._customers[customer.name] = customer
        self._active.add((start, customer.name))
        self.weight += customer.weight
        return customer

    def _deactivate(self, customer):
        del self._customers[customer.name]
        self._active.remove((customer.start, customer.name))
        self.weight -= customer.weight
        self._idle[customer.name] = customer.start


def _backlog_over_weight(customer):
    return customer.cost_ms / customer.weight


class TierQueue:
    """One tier's queue: requests on time first, then client retries, then late ones.

    A late request no longer counts as goodput, but its caller may still get a whole
    answer, so it is served when no request on time waits. A client retry is late too,
    and precedes the other late ones, as its client does not retry a second time.
    """

    __slots__ = ("_late", "_on_time", "_retried")

    def __init__(self):
        self._retried = FairQueue()
        self._on_time = FairQueue()
        self._late = FairQueue()

    @property
    def size(self):
        """Number of waiting requests."""
        return self._retried.size + self._on_time.size + self._late.size

    @property
    def cost_ms(self):
        """Predicted work that is served before a new request of the tier."""
        return self._on_time.cost_ms

    def push(self, waiting):
        """Add a request."""
        self._subqueue(waiting).push(waiting)

    def first(self):
        """Return the request that is next, or None."""
        return self._on_time.first() or self._retried.first() or self._late.first()

    def take(self):
        """Remove and return the request that is next, or None."""
        return self._on_time.take() or self._retried.take() or self._late.take()

    def charge(self, waiting):
        """Charge a request that was taken and granted to its customer's share."""
        self._subqueue(waiting).charge(waiting)

    def remove(self, waiting):
        """Remove a waiting request."""
        self._subqueue(waiting).remove(waiting)

    def displacement_candidate(self):
        """Return the request that is displaced first, or None."""
        first = (
            self._late.displacement_candidate()
            or self._on_time.displacement_candidate()
        )
        return first or self._retried.displacement_candidate()

    def is_displaced_by(self, waiting, request):
        """Return whether a waiting request is displaced by a new one."""
        if waiting.is_late:
            return True
        if waiting.is_retry or waiting.is_reserved:
            return False
        return self._on_time.is_displaced_by(waiting, request)

    def work_ahead_ms(self, request):
        """Return the predicted work that is served before a new request."""
        return self._on_time.work_ahead_ms(request)

    def forget_idle(self):
        """Drop idle customers whose start time the virtual time has passed."""
        self._retried.forget_idle()
        self._on_time.forget_idle()
        self._late.forget_idle()

    def _subqueue(self, waiting):
        if waiting.is_retry:
            return self._retried
        return self._late if waiting.is_late else self._on_time


class RequestQueue:
    """The queues of all tiers of a pool shard, with an index of requests by id."""

    __slots__ = ("_by_id", "_customers", "_due", "_ranks", "_tiers")

    def __init__(self, ranks):
        self._tiers = {rank: TierQueue() for rank in ranks}
        self._ranks = sorted(self._tiers)
        self._by_id = {}
        self._customers = collections.Counter()
        self._due = SortedList()

    def __len__(self):
        return len(self._by_id)

    def __contains__(self, request_id):
        return request_id in self._by_id

    @property
    def ranks(self):
        """The ranks of the tiers, highest tier first."""
        return self._ranks

    def tier(self, rank):
        """Return the queue of a tier."""
        if rank not in self._tiers:
            self._tiers[rank] = TierQueue()
            self._ranks = sorted(self._tiers)
        return self._tiers[rank]

    def push(self, waiting, due_ms):
        """Add a request that is reviewed at ``due_ms`` if it still waits."""
        request = waiting.request
        self.tier(request.tier_rank).push(waiting)
        self._by_id[request.request_id] = (waiting, due_ms)
        self._customers[request.customer] += 1
        self._due.add((due_ms, request.request_id))

    def remove(self, request_id):
        """Remove and return a waiting request, or None."""
        entry = self._forget(request_id)
        if entry is None:
            return None
        waiting = entry[0]
        self._tiers[waiting.request.tier_rank].remove(waiting)
        return waiting

    def take(self, rank):
        """Remove the next request of a tier; return it with its due time, or None."""
        waiting = self._tiers[rank].take()
        if waiting is None:
            return None
        return self._forget(waiting.request.request_id)

    def take_due(self, now_ms):
        """Remove and return the requests whose due time has passed."""
        due = []
        while self._due and self._due[0][0] <= now_ms:
            due.append(self.remove(self._due[0][1]))
        return due

    def next_due_ms(self):
        """Return the earliest due time, or None."""
        return self._due[0][0] if self._due else None

    def of_customer(self, customer):
        """Return the number of waiting requests of a customer."""
        return self._customers.get(customer, 0)

    def of_entry_host(self, host_id):
        """Return the ids of the waiting requests of an entry host."""
        entries = self._by_id.items()
        return [key for key, (item, _) in entries if item.request.entry_host == host_id]

    def count_above(self, rank):
        """Return the number of waiting requests of higher tiers."""
        return sum(self._tiers[r].size for r in self._ranks if r < rank)

    def count_below(self, rank):
        """Return the number of waiting requests of lower tiers."""
        return sum(self._tiers[r].size for r in self._ranks if r > rank)

    def first_above(self, rank):
        """Return the next request of each higher tier with waiting requests."""
        tiers = (self._tiers[r] for r in self._ranks if r < rank)
        return [tier.first() for tier in tiers if tier.size]

    def waiting_below(self, rank):
        """Return the waiting requests of lower tiers, highest tier first."""
        if not self.count_below(rank):
            return []
        found = [item for item, _ in self._by_id.values()]
        found = [item for item in found if item.request.tier_rank > rank]
        return sorted(found, key=lambda item: item.request.tier_rank)

    def first_to_shed(self):
        """Return the waiting request that is shed first, or None."""
        for rank in reversed(self._ranks):
            if self._tiers[rank].size:
                return self._tiers[rank].displacement_candidate()
        return None

    def forget_idle(self):
        """Drop the fair-share state of customers that have been idle."""
        for queue in self._tiers.values():
            queue.forget_idle()

    def _forget(self, request_id):
        entry = self._by_id.pop(request_id, None)
        if entry is None:
            return None
        waiting, due_ms = entry
        self._due.remove((due_ms, request_id))
        customer = waiting.request.customer
        self._customers[customer] -= 1
        if not self._customers[customer]:
            del self._customers[customer]
        return entry
