"""Customers' allowances, as token buckets."""

import math

from hemlockhoist.base import MS_PER_S

FULL_SHARE = 1.0


class _Bucket:
    """One customer's allowance and what is left of it."""

    __slots__ = ("_at_ms", "_level", "allowance")

    def __init__(self, allowance, now_ms):
        self.allowance = allowance
        self._level = float(allowance.burst_units)
        self._at_ms = now_ms

    def level(self, share, now_ms):
        """Return the units that may be taken now."""
        passed_ms = max(0, now_ms - self._at_ms)
        self._at_ms = max(self._at_ms, now_ms)
        gained = share * self.allowance.units_per_s * passed_ms / MS_PER_S
        self._level = min(share * self.allowance.burst_units, self._level + gained)
        return self._level

    def add(self, units):
        """Put units back, or take them with a negative count."""
        self._level += units

    def follow(self, allowance):
        """Take a changed allowance; what is left is cut to the new burst."""
        self.allowance = allowance
        self._level = min(self._level, float(allowance.burst_units))


class AllowanceBook:
    """What each customer may still send.

    Load: one customer sends several times its usual, and others theirs. Harm without
    it: the engines fill with that customer's requests, and all others' are late. The
    rate and burst are the operator's; a request that needs more than the whole burst
    is let through once the bucket is full, since it could never run otherwise.

    Examples
    ========
    >>> from hemlockhoist.declarations import Allowance, KeyedCustomer
    >>> from hemlockhoist.decisions.limits import AllowanceBook
    >>> book = AllowanceBook()
    >>> allowance = Allowance(units_per_s=10, burst_units=20)
    >>> book.declare([KeyedCustomer(name="port", allowance=allowance)], now_ms=0)
    >>> book.take("port", 20, now_ms=0), book.take("port", 5, now_ms=0)
    (0, 500)
    >>> book.take("port", 5, now_ms=500)
    0
    """

    __slots__ = ("_buckets", "_share")

    def __init__(self):
        self._buckets = {}
        self._share = FULL_SHARE

    def declare(self, customers, now_ms):
        """Take the declared customers; what is used of their allowances is kept.

        Parameters
        ==========
        customers : iterable of KeyedCustomer
        now_ms : int
        """
        former = self._buckets
        self._buckets = {}
        for customer in customers:
            if customer.allowance is None:
                continue
            bucket = former.get(customer.name)
            if bucket is None:
                bucket = _Bucket(customer.allowance, now_ms)
            else:
                bucket.follow(customer.allowance)
            self._buckets[customer.name] = bucket

    def set_share(self, share, now_ms):
        """Take the part of all allowances that is given out here.

        Parameters
        ==========
        share : float
            Less than 1 while other hosts give out the rest.
        now_ms : int
        """
        for bucket in self._buckets.values():
            bucket.level(self._share, now_ms)
        self._share = share

    def take(self, customer, units, now_ms):
        """Take units of a customer's allowance.

        Returns
        =======
        int
            0 when they were taken, else after how many milliseconds they will be
            there.
        """
        bucket = self._buckets.get(customer)
        if bucket is None:
            return 0
        level = bucket.level(self._share, now_ms)
        wanted = min(units, self._share * bucket.allowance.burst_units)
        if level >= wanted:
            bucket.add(-units)
            return 0
        rate = self._share * bucket.allowance.units_per_s
        return max(1, math.ceil((wanted - level) * MS_PER_S / max(rate, 1e-9)))

    def units_left(self, customer, now_ms):
        """Return the units that a customer may still send, or None without a limit."""
        bucket = self._buckets.get(customer)
        return None if bucket is None else int(bucket.level(self._share, now_ms))

    def give_back(self, customer, units):
        """Put back what was taken for a request that did not run."""
        bucket = self._buckets.get(customer)
        if bucket is not None:
            bucket.add(units)
