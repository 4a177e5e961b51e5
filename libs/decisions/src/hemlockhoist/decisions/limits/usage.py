"""What one customer has spent in the present window, and who counted it."""

import collections

import msgspec

# The window is kept in this many parts; a part leaves it as a whole.
PARTS = 16


class UsageWindow:
    """Units in the parts of a sliding window.

    Parameters
    ==========
    window_ms : int

    Examples
    ========
    >>> from hemlockhoist.decisions.limits.usage import UsageWindow
    >>> window = UsageWindow(window_ms=8_000)
    >>> window.add(40, now_ms=0)
    >>> window.add(2, now_ms=4_000)
    >>> window.forget(now_ms=9_000)
    >>> window.total
    2
    """

    __slots__ = ("_part_ms", "_parts", "total")

    def __init__(self, window_ms):
        self.total = 0
        self._part_ms = max(1, window_ms // PARTS)
        self._parts = collections.deque()

    def add(self, units, now_ms):
        """Count units."""
        number = now_ms // self._part_ms
        self.total += units
        for part in reversed(self._parts):
            if part[0] == number:
                part[1] += units
                return
            if part[0] < number:
                break
        self._parts.append([number, units])
        if len(self._parts) > 1 and self._parts[-2][0] > number:
            self._parts = collections.deque(sorted(self._parts))

    def subtract(self, units):
        """Stop counting units, of what was counted last.

        Failure: units that were taken back later than they were counted made a later
        part negative. It stood when the first had left the window, and a record of the
        parts was read only as far as the negative one.
        """
        for part in reversed(self._parts):
            taken = min(units, part[1])
            part[1] -= taken
            self.total -= taken
            units -= taken
            if not units:
                return

    def retime(self, units, from_ms, now_ms):
        """Count units from now on that were counted at an earlier time."""
        number = from_ms // self._part_ms
        for part in self._parts:
            if part[0] == number:
                taken = min(units, part[1])
                part[1] -= taken
                self.total -= taken
        self.add(units, now_ms)

    def forget(self, now_ms):
        """Drop the parts that have left the window."""
        oldest = now_ms // self._part_ms - PARTS
        while self._parts and self._parts[0][0] < oldest:
            self.total -= self._parts.popleft()[1]

    def before(self, at_ms):
        """Return the units of the parts that were over at a moment."""
        number = at_ms // self._part_ms
        return sum(units for part, units in self._parts if part < number)

    def leaving(self):
        """Return ``(leaves_ms, units)`` of the parts: when each leaves the window."""
        return [
            ((number + PARTS + 1) * self._part_ms, units)
            for number, units in self._parts
        ]

    def by_age(self, now_ms):
        """Return ``(age_ms, units)`` of the window's parts, for another home."""
        return tuple(
            (max(0, now_ms - number * self._part_ms), units)
            for number, units in self._parts
            if units
        )


class Account(msgspec.Struct, frozen=True):
    """What somebody else says that a customer has spent.

    Parameters
    ==========
    at_ms : int
        When that was so; what was spent later is not in it.
    parts : tuple of (int, int)
        When units were spent, and how many.
    """

    at_ms: int
    parts: tuple[tuple[int, int], ...]

    def inside(self, since_ms):
        """Return the units that were spent since a moment."""
        return sum(units for at_ms, units in self.parts if at_ms >= since_ms)

    def between(self, since_ms, until_ms, part_ms):
        """Return the units that were spent between two moments.

        A part tells when it began, and holds what was spent in ``part_ms`` from then;
        of the part in which the time ends, as much counts as of its time.
        """
        total = 0
        for at_ms, units in self.parts:
            if not since_ms <= at_ms < until_ms:
                continue
            end_ms = max(at_ms + 1, min(at_ms + part_ms, self.at_ms))
            total += units * min(1.0, (until_ms - at_ms) / (end_ms - at_ms))
        return int(total)


class CustomerUsage:
    """What a customer has spent: counted here, told by hosts, and on record.

    Failure: a host is home, hands over, and is home again within one window. What
    hosts tell it then, and the record that the home between wrote, contain what it was
    told before and what it has counted itself. Added up each time, a customer far
    within its bound stood millions of units over it and was refused for seconds. So
    each source's newest account takes the place of its former one, and a record counts
    only for what neither this host counted by then nor any host has told.

    Parameters
    ==========
    window_ms : int

    Attributes
    ==========
    counted : int
        All units that were ever counted, those that have left the window included.
    """

    __slots__ = (
        "_elsewhere",
        "_own",
        "_records",
        "_told",
        "_window_ms",
        "allowance",
        "counted",
        "recorded_ms",
    )

    def __init__(self, window_ms):
        self.allowance = None
        # When a record of a former home was taken into account, if ever.
        self.recorded_ms = None
        self.counted = 0
        self._window_ms = window_ms
        self._own = UsageWindow(window_ms)
        self._elsewhere = UsageWindow(window_ms)
        self._told = {}
        self._records = {}

    @property
    def total(self):
        """All units of the window."""
        return self._own.total + self._elsewhere.total

    def add(self, units, now_ms):
        """Count units that are given out here."""
        self._own.add(units, now_ms)
        self.counted += units

    def subtract(self, units):
        """Stop counting units of a request that did not run."""
        self._own.subtract(units)

    def retime(self, units, from_ms, now_ms):
        """Count units that were given out here from now on."""
        self._own.retime(units, from_ms, now_ms)

    def forget(self, now_ms):
        """Drop what has left the window."""
        self._own.forget(now_ms)
        self._elsewhere.forget(now_ms)

    def record_report(self, source, account, most_units, now_ms):
        """Take what a host says was spent there under other homes.

        Parameters
        ==========
        source : tuple
            The host's run and the pool.
        account : Account
        most_units : int
            The most that the customer may have spent in a window.
        now_ms : int
        """
        self._told[source] = account
        self._count_elsewhere(most_units, now_ms)

    def add_home_record(self, source, account, most_units, now_ms):
        """Take what a home has put on record."""
        self.recorded_ms = now_ms
        self._records[source] = account
        self._count_elsewhere(most_units, now_ms)

    def _count_elsewhere(self, most_units, now_ms):
        """Count anew what was spent under other homes.

        The newest of it first, as what was spent last leaves the window last; and no
        more than may have been given out, whatever the accounts add up to.
        """
        since_ms = now_ms - self._window_ms
        parts = [
            part
            for account in self._told.values()
            for part in account.parts
            if part[0] >= since_ms
        ]
        parts += self._untold(since_ms)
        left = most_units
        former = self._elsewhere.total
        self._elsewhere = UsageWindow(self._window_ms)
        for at_ms, units in sorted(parts, reverse=True):
            counted = min(units, left)
            if counted <= 0:
                break
            self._elsewhere.add(counted, at_ms)
            left -= counted
        self.counted += max(0, self._elsewhere.total - former)

    def _untold(self, since_ms):
        """Return the parts of the fullest record that are known from nobody else."""
        found, most = [], 0
        part_ms = self._window_ms // PARTS
        for account in self._records.values():
            known = self._own.before(account.at_ms)
            for told in self._told.values():
                known += told.between(since_ms, account.at_ms, part_ms)
            missing = account.inside(since_ms) - known
            if missing > most:
                found, most = _newest(account.parts, missing), missing
        return found

    def wait_ms(self, over, now_ms):
        """Return after how long ``over`` units will have left the window."""
        for leaves_ms, units in sorted(self._own.leaving() + self._elsewhere.leaving()):
            over -= units
            if over <= 0:
                return max(1, leaves_ms - now_ms)
        return self._window_ms

    def by_age(self, now_ms):
        """Return ``(age_ms, units)`` of all that is known, for the record."""
        return self._own.by_age(now_ms) + self._elsewhere.by_age(now_ms)


def _newest(parts, units):
    """Return the newest of some parts, up to a number of units."""
    found = []
    for at_ms, spent in sorted(parts, reverse=True):
        counted = min(spent, units)
        if counted <= 0:
            break
        found.append((at_ms, counted))
        units -= counted
    return found
