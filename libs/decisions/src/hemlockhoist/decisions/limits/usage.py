"""Usage of one customer in the sliding window, by who counted it."""

import collections

import msgspec

# The window is divided into this many buckets; each expires as a whole.
BUCKET_COUNT = 16


class UsageWindow:
    """Counts units in the buckets of a sliding window.

    Parameters
    ==========
    window_ms : int

    Examples
    ========
    >>> from hemlockhoist.decisions.limits.usage import UsageWindow
    >>> window = UsageWindow(window_ms=8_000)
    >>> window.add(40, now_ms=0)
    >>> window.add(2, now_ms=4_000)
    >>> window.expire(now_ms=9_000)
    >>> window.total
    2
    """

    __slots__ = ("_bucket_ms", "_buckets", "total")

    def __init__(self, window_ms):
        self.total = 0
        self._bucket_ms = max(1, window_ms // BUCKET_COUNT)
        self._buckets = collections.deque()

    def add(self, units, now_ms):
        """Count units as used at a moment."""
        number = now_ms // self._bucket_ms
        self.total += units
        for bucket in reversed(self._buckets):
            if bucket[0] == number:
                bucket[1] += units
                return
            if bucket[0] < number:
                break
        self._buckets.append([number, units])
        if len(self._buckets) > 1 and self._buckets[-2][0] > number:
            self._buckets = collections.deque(sorted(self._buckets))

    def subtract(self, units):
        """Subtract units, beginning with the newest bucket.

        Units refunded later than they were counted must not make a later bucket
        negative: that bucket would outlive the one it offsets, and readers of a stored
        record stop at the first negative bucket.
        """
        for bucket in reversed(self._buckets):
            subtracted = min(units, bucket[1])
            bucket[1] -= subtracted
            self.total -= subtracted
            units -= subtracted
            if not units:
                return

    def retime(self, units, from_ms, now_ms):
        """Move units from the bucket in which they were counted to the current one.

        A refund may have taken units of that bucket for others; what is missing there
        is taken from the newest buckets, as a refund is.
        """
        number = from_ms // self._bucket_ms
        for bucket in self._buckets:
            if bucket[0] == number:
                subtracted = min(units, bucket[1])
                bucket[1] -= subtracted
                self.total -= subtracted
                self.subtract(units - subtracted)
                break
        self.add(units, now_ms)

    def expire(self, now_ms):
        """Drop the buckets that have left the window."""
        oldest = now_ms // self._bucket_ms - BUCKET_COUNT
        while self._buckets and self._buckets[0][0] < oldest:
            self.total -= self._buckets.popleft()[1]

    def total_before(self, at_ms):
        """Return the units of the buckets that ended before a moment."""
        number = at_ms // self._bucket_ms
        return sum(units for bucket, units in self._buckets if bucket < number)

    def expirations(self):
        """Return ``(expires_ms, units)`` of each bucket."""
        return [
            ((number + BUCKET_COUNT + 1) * self._bucket_ms, units)
            for number, units in self._buckets
        ]

    def by_age(self, now_ms):
        """Return ``(age_ms, units)`` of the window's buckets, for another home."""
        return tuple(
            (max(0, now_ms - number * self._bucket_ms), units)
            for number, units in self._buckets
            if units
        )


class UsageReport(msgspec.Struct, frozen=True):
    """A customer's usage as counted by another host.

    Parameters
    ==========
    at_ms : int
        Time of the report; later usage is not included.
    buckets : tuple of (int, int)
        Start of each bucket, and the units used in it.
    """

    at_ms: int
    buckets: tuple[tuple[int, int], ...]

    def total_since(self, since_ms):
        """Return the units used since a moment."""
        return sum(units for at_ms, units in self.buckets if at_ms >= since_ms)

    def total_between(self, since_ms, until_ms, bucket_ms):
        """Return the units used between two moments.

        A bucket covers ``bucket_ms`` from its start. The bucket that contains
        ``until_ms`` counts in proportion to the time before it.
        """
        total = 0
        for at_ms, units in self.buckets:
            if not since_ms <= at_ms < until_ms:
                continue
            end_ms = max(at_ms + 1, min(at_ms + bucket_ms, self.at_ms))
            total += units * min(1.0, (until_ms - at_ms) / (end_ms - at_ms))
        return int(total)


class CustomerUsage:
    """Tracks a customer's usage: counted locally, reported by hosts, and recorded.

    A host may be home, hand over, and become home again within one window. The reports
    it then receives, and the record written by the home in between, repeat earlier
    reports and its own counts. Summing them put a customer far below its bound millions
    of units above it, and it was refused for seconds. So the newest report of each
    source replaces the previous one, and a record counts only for units that neither
    this host had counted by then nor any host has reported.

    Parameters
    ==========
    window_ms : int

    Attributes
    ==========
    counted : int
        All units ever counted, including those that have left the window.
    """

    __slots__ = (
        "_local",
        "_records",
        "_remote",
        "_reports",
        "_window_ms",
        "counted",
        "quota",
        "recorded_ms",
    )

    def __init__(self, window_ms):
        self.quota = None
        # When a record of a previous home was last taken into account, if ever.
        self.recorded_ms = None
        self.counted = 0
        self._window_ms = window_ms
        self._local = UsageWindow(window_ms)
        self._remote = UsageWindow(window_ms)
        self._reports = {}
        self._records = {}

    @property
    def total(self):
        """All units in the window, local and remote."""
        return self._local.total + self._remote.total

    def add(self, units, now_ms):
        """Count units granted by this host."""
        self._local.add(units, now_ms)
        self.counted += units

    def subtract(self, units):
        """Subtract the units of a request that did not run."""
        self._local.subtract(units)

    def retime(self, units, from_ms, now_ms):
        """Count units granted earlier by this host as used now."""
        self._local.retime(units, from_ms, now_ms)

    def expire(self, now_ms):
        """Drop usage that has left the window."""
        self._local.expire(now_ms)
        self._remote.expire(now_ms)

    def record_report(self, source, report, max_units, now_ms):
        """Record a host's report of usage granted by other homes.

        Parameters
        ==========
        source : tuple
            The host's incarnation and the pool.
        report : UsageReport
        max_units : int
            The most that the customer may have used in a window.
        now_ms : int
        """
        self._reports[source] = report
        self._count_remote(max_units, now_ms)

    def add_home_record(self, source, report, max_units, now_ms):
        """Add the usage that a previous home has stored."""
        self.recorded_ms = now_ms
        self._records[source] = report
        self._count_remote(max_units, now_ms)

    def _count_remote(self, max_units, now_ms):
        """Recompute the usage under other homes.

        The newest units are counted first, as they leave the window last, and never
        more than ``max_units``, whatever the sum of the reports is.
        """
        since_ms = now_ms - self._window_ms
        buckets = [
            bucket
            for report in self._reports.values()
            for bucket in report.buckets
            if bucket[0] >= since_ms
        ]
        buckets += self._unreported(since_ms)
        left = max_units
        previous = self._remote.total
        self._remote = UsageWindow(self._window_ms)
        for at_ms, units in sorted(buckets, reverse=True):
            counted = min(units, left)
            if counted <= 0:
                break
            self._remote.add(counted, at_ms)
            left -= counted
        self.counted += max(0, self._remote.total - previous)

    def _unreported(self, since_ms):
        """Return the units of the fullest record that no host has reported.

        They are returned as the record's newest buckets.
        """
        found, most = [], 0
        bucket_ms = self._window_ms // BUCKET_COUNT
        for record in self._records.values():
            known = self._local.total_before(record.at_ms)
            for report in self._reports.values():
                known += report.total_between(since_ms, record.at_ms, bucket_ms)
            missing = record.total_since(since_ms) - known
            if missing > most:
                found, most = _newest(record.buckets, missing), missing
        return found

    def wait_ms(self, over, now_ms):
        """Return the time until ``over`` units will have left the window."""
        for expires_ms, units in sorted(
            self._local.expirations() + self._remote.expirations()
        ):
            over -= units
            if over <= 0:
                return max(1, expires_ms - now_ms)
        return self._window_ms

    def by_age(self, now_ms):
        """Return ``(age_ms, units)`` of all known usage, to be stored."""
        return self._local.by_age(now_ms) + self._remote.by_age(now_ms)


def _newest(buckets, units):
    """Return the newest buckets that add up to a number of units."""
    found = []
    for at_ms, units_used in sorted(buckets, reverse=True):
        counted = min(units_used, units)
        if counted <= 0:
            break
        found.append((at_ms, counted))
        units -= counted
    return found
