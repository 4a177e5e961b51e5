"""Customers' quotas, counted over a sliding window."""

from hemlockhoist.decisions.limits.coverage import UnknownUsage
from hemlockhoist.decisions.limits.usage import (
    CustomerUsage,
    UsageReport,
    UsageWindow,
)

FULL_SHARE = 1.0
# Fraction of the declared bound that is granted. The rest covers usage that only other
# hosts have counted: requests of hosts that have died, and usage counted by a home that
# was not reported to its successor.
USED_FRACTION = 0.88
# Fraction of the declared bound. The usage of a customer above it is recorded in the
# store; a customer without a record is assumed to have used this much in a window of
# unknown usage. A typical customer uses 0.3 to 0.4 of its bound, so that the rest of
# ``USED_FRACTION`` suffices for the window after a restart.
RECORDED_FRACTION = 0.3


class QuotaBounds:
    """The window over which quotas are enforced, and the tolerance.

    Parameters
    ==========
    window_ms : int
    overshoot : float
        Fraction of its quota by which a customer may exceed it.
    tolerance : float
        Units by which it may exceed its quota in addition.
    """

    __slots__ = ("overshoot", "tolerance", "window_ms")

    def __init__(self, window_ms, overshoot=0.0, tolerance=0.0):
        self.window_ms = window_ms
        self.overshoot = overshoot
        self.tolerance = tolerance

    def units(self, quota):
        """Return the maximum units that a customer may run in one window."""
        declared = quota.units_per_s * self.window_ms / 1_000
        declared += quota.burst_units
        return declared * (1.0 + self.overshoot) + self.tolerance


class QuotaTracker:
    """Tracks the usage of each customer and enforces its quota.

    Without quotas, one customer that sends several times its usual load fills the
    engines, and the requests of all others are late. Rate, burst and tolerance are set
    by the operator. A customer is refused only units beyond all of them: a stricter
    count would refuse what the operator grants.

    Parameters
    ==========
    bounds : QuotaBounds

    Examples
    ========
    >>> from hemlockhoist.declarations import Quota, KeyedCustomer
    >>> from hemlockhoist.decisions.limits import QuotaTracker, QuotaBounds
    >>> tracker = QuotaTracker(QuotaBounds(window_ms=8_000))
    >>> quota = Quota(units_per_s=10, burst_units=20)
    >>> tracker.declare([KeyedCustomer(name="port", quota=quota)])
    >>> tracker.acquire("port", 90, now_ms=0), tracker.acquire("port", 5, now_ms=0)
    (0, 8500)
    >>> tracker.acquire("port", 5, now_ms=9_000)
    0
    """

    __slots__ = ("_bounds", "_limited", "_share", "_unknown_usage", "_usage")

    def __init__(self, bounds):
        self._bounds = bounds
        self._unknown_usage = UnknownUsage()
        # Of the customers that have a quota, and of those that had one within the window.
        self._usage = {}
        self._limited = frozenset()
        self._share = FULL_SHARE

    def declare(self, customers, now_ms=0):
        """Set the declared customers; their usage is kept.

        Failure prevented: a customer at its bound is taken out and declared again within
        the window, and gets its whole quota a second time.

        Parameters
        ==========
        customers : iterable of KeyedCustomer
        now_ms : int, optional
        """
        limited = [item for item in customers if item.quota is not None]
        for customer in limited:
            usage = self._usage.get(customer.name)
            if usage is None:
                usage = self._usage[customer.name] = CustomerUsage(
                    self._bounds.window_ms
                )
            usage.quota = customer.quota
        self._limited = frozenset(item.name for item in limited)
        self._forget_expired(now_ms)

    def _forget_expired(self, now_ms):
        """Drop usage that has left the window, of customers that have no quota now."""
        for name in self._usage.keys() - self._limited:
            self._usage[name].expire(now_ms)
            if not self._usage[name].total:
                del self._usage[name]

    def _limited_usage(self, customer):
        return self._usage.get(customer) if customer in self._limited else None

    def set_share(self, share):
        """Set the share of all quotas that this host grants.

        Parameters
        ==========
        share : float
            Less than 1 while other hosts grant the rest.
        """
        self._share = share

    def set_unknown_usage(self, unknown):
        """Set how much of the recent usage is unknown.

        Parameters
        ==========
        unknown : UnknownUsage
        """
        self._unknown_usage = unknown

    def acquire(self, customer, units, now_ms):
        """Acquire units of a customer's quota.

        Returns
        =======
        int
            0 if they were acquired, else the time to wait before a retry, in
            milliseconds.
        """
        usage = self._limited_usage(customer)
        if usage is None:
            return 0
        usage.expire(now_ms)
        over = usage.total + units - self._bound(usage, now_ms)
        # A request larger than the whole bound is admitted while the window is empty:
        # it could never run otherwise.
        if over > 0 and usage.total > 0:
            return usage.wait_ms(over, now_ms)
        usage.add(units, now_ms)
        return 0

    def refund(self, customer, units, now_ms):
        """Return the units of a request that did not run."""
        usage = self._usage.get(customer)
        if usage is not None:
            usage.expire(now_ms)
            usage.subtract(units)

    def retime(self, customer, units, from_ms, now_ms):
        """Count units acquired earlier as used now."""
        usage = self._usage.get(customer)
        if usage is not None:
            usage.expire(now_ms)
            usage.retime(units, from_ms, now_ms)

    def add_reported(self, source, usage_by_customer, now_ms):
        """Count the usage that an entry host reports under previous homes.

        Parameters
        ==========
        source : tuple
            The host's incarnation and the pool; a later report replaces an earlier one.
        usage_by_customer : iterable of (str, sequence of (int, int))
            Customers, each with the age in milliseconds and the units of its usage.
        now_ms : int
        """
        for customer, buckets in usage_by_customer:
            usage = self._usage.get(customer)
            if usage is not None:
                report = _usage_report(buckets, now_ms)
                usage.record_report(source, report, self._max_units(usage), now_ms)

    def usage_to_record(self, now_ms):
        """Return the usage that must be stored to survive a loss of all hosts.

        Returns
        =======
        tuple
            Of ``(customer, ((age_ms, units), …))``, as accepted by ``add_reported``.
        """
        found = []
        for customer, usage in self._usage.items():
            usage.expire(now_ms)
            limit = RECORDED_FRACTION * self._bounds.units(usage.quota)
            if usage.total > limit:
                found.append((customer, usage.by_age(now_ms)))
        return tuple(found)

    def add_recorded(self, home, usage_by_customer, written_ms, now_ms):
        """Count recorded usage that no host has reported.

        Units that this home granted before it read the record must not be treated as
        reported, which would reduce the count by as much. After a loss of all hosts the
        first wave of callers is large, and a customer exceeded its bound by that much.

        Parameters
        ==========
        home : str
            The home that wrote the record.
        usage_by_customer : iterable of (str, sequence of (int, int))
            As returned by ``usage_to_record``.
        written_ms : int
            When the record was written, on this host's clock.
        now_ms : int
        """
        for customer, buckets in usage_by_customer:
            usage = self._usage.get(customer)
            if usage is not None:
                report = _usage_report(buckets, written_ms)
                usage.add_home_record(home, report, self._max_units(usage), now_ms)

    def counted(self, customer):
        """Return all units ever counted for a customer, as a ratio to its bound."""
        usage = self._limited_usage(customer)
        if usage is None:
            return 0.0
        return usage.counted / max(1.0, self._bounds.units(usage.quota))

    def units_left(self, customer, now_ms):
        """Return the units that a customer has left, or None without a limit."""
        usage = self._limited_usage(customer)
        if usage is None:
            return None
        usage.expire(now_ms)
        return int(self._bound(usage, now_ms) - usage.total)

    def _max_units(self, usage):
        """Return the maximum that all homes together may grant in a window."""
        return int(USED_FRACTION * self._bounds.units(usage.quota))

    def _unknown_fraction(self, usage, now_ms):
        recorded_ms = usage.recorded_ms
        if recorded_ms is not None and recorded_ms >= self._unknown_usage.since_ms:
            return 0.0
        return self._unknown_usage.fraction_at(self._bounds.window_ms, now_ms)

    def _bound(self, usage, now_ms):
        fraction = USED_FRACTION - RECORDED_FRACTION * self._unknown_fraction(
            usage, now_ms
        )
        return fraction * self._share * self._bounds.units(usage.quota)


class UsageLog:
    """Logs the recent usage of an entry host's requests, for a home that takes over.

    Without it, a home that succeeds one that died while a customer was at its bound
    starts with no usage counted, and grants the quota of the whole window again.

    Parameters
    ==========
    window_ms : int
    """

    __slots__ = ("_window_ms", "_windows")

    def __init__(self, window_ms):
        self._window_ms = window_ms
        self._windows = {}

    def add(self, pool, home_incarnation, customer, units, now_ms):
        """Record that an incarnation of a home granted a request."""
        if not units:
            return
        key = (pool, home_incarnation, customer)
        usage = self._windows.get(key)
        if usage is None:
            usage = self._windows[key] = UsageWindow(self._window_ms)
        usage.expire(now_ms)
        usage.add(units, now_ms)

    def report(self, pool, requesting_incarnation, now_ms):
        """Return ``(customer, ((age_ms, units), …))`` of the current window.

        Usage that the requesting incarnation has counted itself is omitted.
        """
        found = []
        for key, usage in list(self._windows.items()):
            usage.expire(now_ms)
            buckets = usage.by_age(now_ms)
            if not buckets:
                del self._windows[key]
            elif key[0] == pool and key[1] != requesting_incarnation:
                found.append((key[2], buckets))
        return tuple(found)


def _usage_report(buckets, reported_ms):
    return UsageReport(
        at_ms=reported_ms,
        buckets=tuple((reported_ms - age, units) for age, units in buckets),
    )
