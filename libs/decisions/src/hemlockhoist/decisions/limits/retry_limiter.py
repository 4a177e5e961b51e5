"""Limit on retries over all hosts, as a ratio to the requests in a sliding window."""

from hemlockhoist.decisions.limits.retry_window import RetryWindow
from hemlockhoist.messages import RetryRecord

# Fraction of the declared bound that the home of a pool grants, by all that it knows.
USED_FRACTION = 0.7
# The rest is for retries that it does not know of: those of hosts that decide alone
# while they cannot reach it, and those that no host could report.
UNKNOWN_FRACTION = 1.0 - USED_FRACTION
# Number that a home may grant at once though it does not know what was granted before, so
# that single failures just after a start are retried.
MAX_AT_START = 3
# Hosts may disagree for this long on which of two is the home, and both grant.
OVERLAP_MS = 1_000


class _AdoptedRecord:
    """What another home counted, with times on this host's clock."""

    __slots__ = ("_counts", "change_count")

    def __init__(self, record, now_ms):
        self.change_count = record.change_count
        self._counts = tuple(
            (now_ms - age_ms, requests, retries)
            for age_ms, requests, retries in record.counts
        )

    def by_age(self, window_ms, now_ms):
        """Return ``(age_ms, requests, retries)`` of the window."""
        return tuple(
            (max(0, now_ms - at_ms), requests, retries)
            for at_ms, requests, retries in self._counts
            if now_ms - at_ms <= window_ms
        )


class RetryLimiter:
    """Limits the attempts beyond the first of each request.

    Without a limit, when an upstream fails most of its requests or many are full in a
    burst, each request is sent as often as its route allows, and the remaining
    upstreams get several times their load. The ratio and the base are set by the
    operator and hold over all hosts, whichever of them is the home.

    Each home counts what it grants. Its record goes to the hosts with the retries that
    it grants, and from them to the next home, which adds up the records of all homes.

    Parameters
    ==========
    window_ms : int
    ratio : float
        Retries per request in the window.
    base : float
        Retries allowed in addition to the ratio.
    share : float, optional
        Share of the bound that this host grants.

    Attributes
    ==========
    is_home : bool
        Whether this host decides for others. One that decides alone grants of what the
        home leaves.
    unknown_usage : UnknownUsage or None
        What is unknown since this host took over; None if it did not take over.

    Examples
    ========
    >>> from hemlockhoist.decisions.limits import RetryLimiter
    >>> limiter = RetryLimiter(window_ms=10_000, ratio=0.0, base=2.0)
    >>> [limiter.acquire(now_ms=at) for at in (0, 10, 20, 12_000)]
    [True, False, False, True]
    """

    __slots__ = (
        "_adopted",
        "_base",
        "_own",
        "_ratio",
        "_window_ms",
        "is_home",
        "share",
        "unknown_usage",
    )

    def __init__(self, window_ms, ratio, base, share=1.0):
        self._window_ms = window_ms
        self._ratio = ratio
        self._base = base
        self._own = RetryWindow(window_ms)
        # By the incarnation of another home.
        self._adopted = {}
        self.is_home = True
        self.share = share
        self.unknown_usage = None

    def count_request(self, now_ms):
        """Count a first attempt sent by a caller."""
        self._own.count_request(now_ms, is_of_part=self.share < 1.0)

    def acquire(self, now_ms, usable_fraction=1.0):
        """Return whether one more retry is allowed, and count it if so.

        Parameters
        ==========
        now_ms : int
        usable_fraction : float, optional
            Fraction of the bound that it may use; the rest is for others.
        """
        requests, retries = self._totals(now_ms)
        if retries + 1 > usable_fraction * self._bound(requests, now_ms):
            return False
        self._own.count_retry(now_ms)
        return True

    def refund(self, acquired_ms):
        """Stop counting a retry that was allowed at ``acquired_ms`` and not sent."""
        self._own.remove_retry(acquired_ms)

    def retime(self, acquired_ms, now_ms):
        """Count a retry that was allowed at ``acquired_ms`` as one of now."""
        self._own.remove_retry(acquired_ms)
        self._own.count_retry(now_ms)

    def left(self, now_ms):
        """Return how many more retries would be allowed now."""
        requests, retries = self._totals(now_ms)
        return max(0, int(self._bound(requests, now_ms) - retries))

    def describe(self, now_ms):
        """Return what the limit is made of, as a text for logs."""
        requests, retries = self._totals(now_ms)
        return (
            f"{retries} retries and {requests:.0f} requests in the window, "
            f"bound {self._bound(requests, now_ms):.1f}, "
            f"unknown {self._unknown_fraction(now_ms):.2f}"
        )

    def adopt(self, records, own_incarnation, now_ms):
        """Count what other homes counted; of each, the latest record.

        Parameters
        ==========
        records : iterable of RetryRecord
        own_incarnation : str
        now_ms : int
        """
        self._forget(now_ms)
        for record in records:
            if record.incarnation == own_incarnation:
                continue
            known = self._adopted.get(record.incarnation)
            if known is None or known.change_count < record.change_count:
                adopted = _AdoptedRecord(record, now_ms)
                self._adopted[record.incarnation] = adopted

    def records(self, own_incarnation, now_ms):
        """Return the records of this host and of the homes whose records it has.

        Returns
        =======
        tuple of RetryRecord
        """
        self._forget(now_ms)
        own = RetryRecord(
            incarnation=own_incarnation,
            change_count=self._own.change_count,
            counts=self._own.by_age(now_ms),
        )
        adopted = [
            RetryRecord(
                incarnation=incarnation,
                change_count=record.change_count,
                counts=record.by_age(self._window_ms, now_ms),
            )
            for incarnation, record in self._adopted.items()
        ]
        return tuple(record for record in (own, *adopted) if record.counts)

    def _forget(self, now_ms):
        for incarnation, record in list(self._adopted.items()):
            if not record.by_age(self._window_ms, now_ms):
                del self._adopted[incarnation]

    def _totals(self, now_ms):
        """Return the requests and the retries of the window, over all homes.

        While a part of the fleet cannot be reached, both parts know the requests from
        before, so that each grants retries for its share of them.
        """
        requests, of_part, retries = self._own.totals(now_ms)
        requests = of_part + self.share * (requests - of_part)
        if not self.is_home:
            return requests, retries
        for record in self._adopted.values():
            for _, adopted_requests, adopted_retries in record.by_age(
                self._window_ms, now_ms
            ):
                requests += self.share * adopted_requests
                retries += adopted_retries
        return requests, retries

    def _bound(self, requests, now_ms):
        return USED_FRACTION * self._ratio * requests + self._usable_base(now_ms)

    def _usable_base(self, now_ms):
        """Return how much of the base may be granted by now.

        Of the part that belongs to what is unknown, little more is granted than has
        accrued since the takeover. So homes that follow one another, each without
        knowing of those before it, grant it once in a window and not once each.
        """
        base = self.share * self._base
        if not self.is_home:
            return UNKNOWN_FRACTION * base
        unknown = self._unknown_fraction(now_ms)
        if not unknown:
            return USED_FRACTION * base
        elapsed_ms = now_ms - self.unknown_usage.since_ms
        unknown_base = UNKNOWN_FRACTION * base
        at_start = min(MAX_AT_START, unknown_base)
        accrued = unknown_base * min(1.0, elapsed_ms / self._window_ms)
        known_part = USED_FRACTION * (1.0 - unknown) * base
        return known_part + unknown * max(at_start, accrued)

    def _unknown_fraction(self, now_ms):
        unknown = self.unknown_usage
        if unknown is None:
            return 0.0
        if now_ms - unknown.since_ms < OVERLAP_MS:
            return 1.0
        return unknown.fraction_at(self._window_ms, now_ms)
