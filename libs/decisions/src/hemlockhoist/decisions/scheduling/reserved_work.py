"""The work that is reserved for client retries, by tier, customer and due time."""

# Resolution of due times. The forecast for a new request sums some dozens of buckets.
BUCKET_MS = 100
# Time after its due time until which reserved work is expected: messages, clients and
# links delay a retry by less.
EXPECTED_LATE_MS = 300


class _WorkSum:
    """Number and total work of some reservations."""

    __slots__ = ("cost_ms", "count")

    def __init__(self):
        self.count = 0
        self.cost_ms = 0.0

    def add(self, cost_ms):
        self.count += 1
        self.cost_ms += cost_ms

    def remove(self, cost_ms):
        self.count -= 1
        # Rounding errors must not remain when no work does.
        self.cost_ms = self.cost_ms - cost_ms if self.count else 0.0


class _TierWork:
    """The reserved work of one tier."""

    __slots__ = ("buckets", "customers", "total", "weight")

    def __init__(self):
        self.buckets = {}
        self.customers = {}
        self.total = _WorkSum()
        self.weight = 0


_NO_WORK = _TierWork()


class ReservedWork:
    """Sums of reserved work, so that a forecast does not visit each reservation.

    Load: thousands of refusals a second at one home. Adding and removing work changes
    three sums; the wait of a new request adds up those of the buckets before it.

    Attributes
    ==========
    claimed_share : float
        Fraction of the reserved work that is expected to be claimed.
    """

    __slots__ = ("_tiers", "claimed_share")

    def __init__(self):
        self._tiers = {}
        self.claimed_share = 1.0

    def add(self, reservation):
        """Add the work of a reservation."""
        tier = self._tiers.setdefault(reservation.rank, _TierWork())
        cost_ms = reservation.cost_ms
        tier.total.add(cost_ms)
        bucket = reservation.due_ms // BUCKET_MS
        tier.buckets.setdefault(bucket, _WorkSum()).add(cost_ms)
        if reservation.customer not in tier.customers:
            tier.customers[reservation.customer] = (_WorkSum(), reservation.weight)
            tier.weight += reservation.weight
        tier.customers[reservation.customer][0].add(cost_ms)

    def remove(self, reservation):
        """Remove the work of a reservation that was added."""
        tier = self._tiers[reservation.rank]
        cost_ms = reservation.cost_ms
        tier.total.remove(cost_ms)
        bucket = reservation.due_ms // BUCKET_MS
        tier.buckets[bucket].remove(cost_ms)
        if not tier.buckets[bucket].count:
            del tier.buckets[bucket]
        own, weight = tier.customers[reservation.customer]
        own.remove(cost_ms)
        if not own.count:
            del tier.customers[reservation.customer]
            tier.weight -= weight

    def count_until(self, until_ms):
        """Return the number of reservations of all tiers that are due until a time."""
        last = until_ms // BUCKET_MS
        return sum(
            found.count
            for tier in self._tiers.values()
            for bucket, found in tier.buckets.items()
            if bucket <= last
        )

    def ahead_ms(self, request, cost_ms):
        """Return the reserved work that precedes one more reservation.

        This is all of its tier and above, or less where the fair share of its customer
        lets it be served earlier.
        """
        higher, own, fair_share_ms = self._ahead(request, cost_ms)
        higher_ms = sum(tier.total.cost_ms for tier in higher)
        return self.claimed_share * (higher_ms + min(own.total.cost_ms, fair_share_ms))

    def wait_ms(self, request, cost_ms, ahead_ms, slots, max_ms, now_ms):
        """Return how long a new request waits, exactly only up to about ``max_ms``.

        Parameters
        ==========
        request : hemlockhoist.decisions.WorkRequest
        cost_ms : float
            Predicted time for which it will hold a slot.
        ahead_ms : float
            Queued work that is served before it.
        slots, max_ms : float
        now_ms : int

        Returns
        =======
        float
            The shortest time in which the slots do the queued work and the reserved
            work that falls due until then, or longer if that is still in time.
        """
        all_ms = (ahead_ms + self.ahead_ms(request, cost_ms)) / slots
        if all_ms <= max_ms:
            return all_ms
        higher, own, fair_share_ms = self._ahead(request, cost_ms)
        higher_buckets, own_buckets = [tier.buckets for tier in higher], own.buckets
        wait_ms = ahead_ms / slots
        higher_ms = own_ms = 0.0
        first = (now_ms - EXPECTED_LATE_MS) // BUCKET_MS
        for bucket in range(first, int(now_ms + max_ms) // BUCKET_MS + 1):
            for buckets in higher_buckets:
                if bucket in buckets:
                    higher_ms += buckets[bucket].cost_ms
            if bucket in own_buckets:
                own_ms += own_buckets[bucket].cost_ms
            reserved_ms = self.claimed_share * (higher_ms + min(own_ms, fair_share_ms))
            wait_ms = (ahead_ms + reserved_ms) / slots
            if wait_ms <= (bucket + 1) * BUCKET_MS - now_ms:
                break
        return wait_ms

    def _ahead(self, request, cost_ms):
        """Return whose reserved work precedes a request.

        Returns
        =======
        tuple of (list of _TierWork, _TierWork, float)
            The tiers above its own, its own, and the bound on the work of the latter by
            the fair share of its customer.
        """
        rank = request.tier_rank
        higher = [tier for above, tier in self._tiers.items() if above < rank]
        own = self._tiers.get(rank, _NO_WORK)
        return higher, own, _fair_share_ms(own, request, cost_ms)


def _fair_share_ms(tier, request, cost_ms):
    """Return the work that precedes a request by the fair share of its customer."""
    weight = max(1, request.weight)
    if request.customer not in tier.customers:
        return cost_ms * (tier.weight + weight) / weight
    own = tier.customers[request.customer][0].cost_ms
    return (own + cost_ms) * tier.weight / weight
