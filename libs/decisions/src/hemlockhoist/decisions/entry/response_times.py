"""Recent response times of one route, in a histogram of bounded size."""

import array
import bisect

# Each bound is a quarter of an octave above the one before, so that a quantile is at
# most 19 % too long. The last one exceeds the longest time limit of a route.
_BOUND_COUNT = 68
BOUNDS_MS = tuple(round(2 ** (number / 4), 2) for number in range(_BOUND_COUNT))
# Weight at which all counts are halved: the histogram follows the latest few hundred
# responses, and a quantile of 0.95 still rests on a dozen of them.
MAX_WEIGHT = 512.0
# The counts are halved at least this often, so that a quiet route does not keep the
# times of an earlier hour.
HALF_LIFE_MS = 60_000
# Bound on the routes, and on the pools, of which times are kept: declarations may
# replace them often.
MAX_KEPT = 2_048


class ResponseTimes:
    """Histogram of response times in which later ones outweigh earlier ones.

    Examples
    ========
    >>> from hemlockhoist.decisions.entry import ResponseTimes
    >>> times = ResponseTimes()
    >>> for duration_ms in [10] * 95 + [900] * 5:
    ...     times.observe(duration_ms, now_ms=0)
    >>> times.quantile_ms(0.5), times.quantile_ms(0.99)
    (11.31, 1024.0)
    """

    __slots__ = ("_counts", "_halved_ms", "weight")

    def __init__(self):
        self._counts = array.array("f", bytes(4 * (_BOUND_COUNT + 1)))
        self._halved_ms = None
        # The number of responses, of which earlier ones count less.
        self.weight = 0.0

    def observe(self, duration_ms, now_ms):
        """Add the time of one response."""
        if self._halved_ms is None:
            self._halved_ms = now_ms
        self.decay(now_ms)
        self._counts[bisect.bisect_left(BOUNDS_MS, duration_ms)] += 1
        self.weight += 1

    def quantile_ms(self, fraction):
        """Return the bound that a fraction of the times does not exceed, or None."""
        if self.weight <= 0:
            return None
        needed = fraction * self.weight
        total = 0.0
        for bound_ms, count in zip(BOUNDS_MS, self._counts, strict=False):
            total += count
            if total >= needed:
                return bound_ms
        return BOUNDS_MS[-1]

    def decay(self, now_ms):
        """Halve the counts once for each half-life that has passed."""
        while self.weight >= MAX_WEIGHT or (
            self.weight >= 1 and now_ms - self._halved_ms >= HALF_LIFE_MS
        ):
            for index, count in enumerate(self._counts):
                self._counts[index] = count / 2
            self.weight /= 2
            self._halved_ms = min(now_ms, self._halved_ms + HALF_LIFE_MS)
        if self.weight < 1:
            self._halved_ms = now_ms


def times_of(table, name):
    """Return the ``ResponseTimes`` of a name in a dict, adding them if needed.

    Where the dict is full, the oldest entry is removed.
    """
    times = table.get(name)
    if times is None:
        if len(table) >= MAX_KEPT:
            del table[next(iter(table))]
        times = table[name] = ResponseTimes()
    return times
