"""Customers' allowances, counted over a sliding window."""

from hemlockhoist.decisions.limits.coverage import UnknownUsage
from hemlockhoist.decisions.limits.usage import (
    Account,
    CustomerUsage,
    UsageWindow,
)

FULL_SHARE = 1.0
# Of the declared bound, what is given out. The rest is for what other hosts count and
# this one does not know: requests whose host has died, and the part of a window that a
# home had counted and its successor was not told.
USED_SHARE = 0.88
# Of the declared bound: a customer that has spent more is put on record in the store,
# and one without a record is taken to have spent this much in a window of which nothing
# is known. A usual customer spends 0.3 to 0.4 of its bound, and has the rest of
# ``USED_SHARE`` left for the window after a restart.
RECORDED_SHARE = 0.3


class QuotaBounds:
    """The window in which customers are held to their allowances, and its tolerance.

    Parameters
    ==========
    window_ms : int
    overshoot : float
        By which part of its allowance a customer may be over it.
    tolerance : float
        By how many units it may be over it besides.
    """

    __slots__ = ("overshoot", "tolerance", "window_ms")

    def __init__(self, window_ms, overshoot=0.0, tolerance=0.0):
        self.window_ms = window_ms
        self.overshoot = overshoot
        self.tolerance = tolerance

    def units(self, allowance):
        """Return the most that a customer may have run in one window."""
        declared = allowance.units_per_s * self.window_ms / 1_000
        declared += allowance.burst_units
        return declared * (1.0 + self.overshoot) + self.tolerance


class QuotaTracker:
    """What each customer has spent, and may still send.

    Load: one customer sends several times its usual, and others theirs. Harm without
    it: the engines fill with that customer's requests, and all others' are late. Rate,
    burst and tolerance are the operator's. A customer is refused only what goes beyond
    all of them: a stricter count would refuse what the operator grants.

    Parameters
    ==========
    bounds : AllowanceBounds

    Examples
    ========
    >>> from hemlockhoist.declarations import Allowance, KeyedCustomer
    >>> from hemlockhoist.decisions.limits import QuotaTracker, QuotaBounds
    >>> book = QuotaTracker(QuotaBounds(window_ms=8_000))
    >>> allowance = Allowance(units_per_s=10, burst_units=20)
    >>> book.declare([KeyedCustomer(name="port", allowance=allowance)])
    >>> book.acquire("port", 90, now_ms=0), book.acquire("port", 5, now_ms=0)
    (0, 8500)
    >>> book.acquire("port", 5, now_ms=9_000)
    0
    """

    __slots__ = ("_bounds", "_past", "_share", "_spending")

    def __init__(self, bounds):
        self._bounds = bounds
        self._past = UnknownUsage()
        self._spending = {}
        self._share = FULL_SHARE

    def declare(self, customers):
        """Take the declared customers; what they have spent is kept.

        Parameters
        ==========
        customers : iterable of KeyedCustomer
        """
        former = self._spending
        self._spending = {}
        for customer in customers:
            if customer.allowance is None:
                continue
            spending = former.get(customer.name)
            if spending is None:
                spending = CustomerUsage(self._bounds.window_ms)
            spending.allowance = customer.allowance
            self._spending[customer.name] = spending

    def set_share(self, share):
        """Take the part of all allowances that is given out here.

        Parameters
        ==========
        share : float
            Less than 1 while other hosts give out the rest.
        """
        self._share = share

    def set_unknown_usage(self, past):
        """Take how much of what was spent lately is not known.

        Parameters
        ==========
        past : UnknownPast
        """
        self._past = past

    def acquire(self, customer, units, now_ms):
        """Take units of a customer's allowance.

        Returns
        =======
        int
            0 when they were taken, else after how many milliseconds to come back.
        """
        spending = self._spending.get(customer)
        if spending is None:
            return 0
        spending.forget(now_ms)
        over = spending.total + units - self._bound(spending, now_ms)
        # A request that is larger than the whole bound runs when nothing else does; it
        # could never run otherwise.
        if over > 0 and spending.total > 0:
            return spending.wait_ms(over, now_ms)
        spending.add(units, now_ms)
        return 0

    def refund(self, customer, units, now_ms):
        """Put back what was taken for a request that did not run."""
        spending = self._spending.get(customer)
        if spending is not None:
            spending.forget(now_ms)
            spending.subtract(units)

    def retime(self, customer, units, from_ms, now_ms):
        """Count units that were taken earlier from now on."""
        spending = self._spending.get(customer)
        if spending is not None:
            spending.forget(now_ms)
            spending.retime(units, from_ms, now_ms)

    def add_reported(self, source, spent, now_ms):
        """Count what an entry host says was spent under homes before this one.

        Parameters
        ==========
        source : tuple
            The host's run and the pool; a later account takes the place of an earlier
            one.
        spent : iterable of (str, sequence of (int, int))
            Customers, each with the age in milliseconds and the units of what it spent.
        now_ms : int
        """
        for customer, parts in spent:
            spending = self._spending.get(customer)
            if spending is not None:
                account = _account(parts, now_ms)
                spending.record_report(source, account, self._most(spending), now_ms)

    def usage_to_record(self, now_ms):
        """Return the customers that the next home has to know of, after a loss of all.

        Returns
        =======
        tuple
            Of ``(customer, ((age_ms, units), …))``, as ``add_reported`` takes it.
        """
        found = []
        for customer, spending in self._spending.items():
            spending.forget(now_ms)
            limit = RECORDED_SHARE * self._bounds.units(spending.allowance)
            if spending.total > limit:
                found.append((customer, spending.by_age(now_ms)))
        return tuple(found)

    def add_recorded(self, home, spent, written_ms, now_ms):
        """Count what was on record beyond what hosts have told.

        Failure: what this home gave out before it read the record was taken for told,
        and as much less was counted. After a loss of all hosts the first wave of
        callers is large, and a customer got that much over its bound.

        Parameters
        ==========
        home : str
            That wrote the record.
        spent : iterable of (str, sequence of (int, int))
            As ``usage_to_record`` gave it.
        written_ms : int
            When, on this host's clock.
        now_ms : int
        """
        for customer, parts in spent:
            spending = self._spending.get(customer)
            if spending is not None:
                account = _account(parts, written_ms)
                spending.add_home_record(home, account, self._most(spending), now_ms)

    def counted(self, customer):
        """Return all that was ever counted of a customer, as a part of its bound."""
        spending = self._spending.get(customer)
        if spending is None:
            return 0.0
        return spending.counted / max(1.0, self._bounds.units(spending.allowance))

    def units_left(self, customer, now_ms):
        """Return the units that a customer may still send, or None without a limit."""
        spending = self._spending.get(customer)
        if spending is None:
            return None
        spending.forget(now_ms)
        return int(self._bound(spending, now_ms) - spending.total)

    def _most(self, spending):
        """Return the most that all homes together may have given out in a window."""
        return int(USED_SHARE * self._bounds.units(spending.allowance))

    def _unknown(self, spending, now_ms):
        recorded_ms = spending.recorded_ms
        if recorded_ms is not None and recorded_ms >= self._past.since_ms:
            return 0.0
        return self._past.fraction_at(self._bounds.window_ms, now_ms)

    def _bound(self, spending, now_ms):
        part = USED_SHARE - RECORDED_SHARE * self._unknown(spending, now_ms)
        return part * self._share * self._bounds.units(spending.allowance)


class UsageLog:
    """What an entry host's requests have spent lately, for a home that takes over.

    Failure: the home dies while a customer is at its bound. The next one knows nothing
    of what was spent, and gives the whole window's allowance once more.

    Parameters
    ==========
    window_ms : int
    """

    __slots__ = ("_spent", "_window_ms")

    def __init__(self, window_ms):
        self._window_ms = window_ms
        self._spent = {}

    def add(self, pool, home_run, customer, units, now_ms):
        """Note that a run of a home gave a request a place."""
        if not units:
            return
        key = (pool, home_run, customer)
        spending = self._spent.get(key)
        if spending is None:
            spending = self._spent[key] = UsageWindow(self._window_ms)
        spending.forget(now_ms)
        spending.add(units, now_ms)

    def report(self, pool, asking_run, now_ms):
        """Return ``(customer, ((age_ms, units), …))`` of the present window.

        Without what the run of the home that asks has counted itself.
        """
        found = []
        for key, spending in list(self._spent.items()):
            spending.forget(now_ms)
            parts = spending.by_age(now_ms)
            if not parts:
                del self._spent[key]
            elif key[0] == pool and key[1] != asking_run:
                found.append((key[2], parts))
        return tuple(found)


def _account(parts, told_ms):
    return Account(
        at_ms=told_ms, parts=tuple((told_ms - age, units) for age, units in parts)
    )
