"""Reference rates and latencies of the old version.

Load makes every version slower, and a failing dependency makes every version fail.
Therefore no fixed thresholds are used: an answer is slow if it exceeds the old
version's recent median latency by a factor, and the new version is tested against the
rate at which the old version's latest answers are that slow.
"""

import array
import bisect
import math

# An answer is slow above this multiple of the old version's recent median. With 1.5,
# the load changes of a burst alone made one good answer in three slow.
SLOW_FACTOR = 2.0
# A request is overdue, and counts as a failure, after this multiple of the old
# version's recent maximum duration.
OVERDUE_FACTOR = 2.0
# Minimum overdue time, for when the old version has answered too few times, or so fast
# that a suspension of a process would exceed the limit.
OVERDUE_FLOOR_MS = 2_000
_WINDOW = 64
# With fewer latencies, the median is so uncertain that a good version may appear slow.
_MIN_WINDOW = 24
_REFRESH_EVERY = 8
# Tolerance for the new version, as loads within one level differ and the old version's
# answers at that level may be minutes old.
_LOAD_MISMATCH_FACTOR = 1.1
# Smoothing weight of the drift of the old version's latencies: a slowdown is reflected
# within some ten of its answers.
_DRIFT_WEIGHT = 1 / 12
# Answers needed at a load level before their maximum is used, and the decay factor of
# that maximum for each answer.
_MIN_ANSWERS = 8
_DECAY = 0.997
# Ratio of the bounds of successive load levels, up to some hundred grants per upstream.
_LOG_LEVEL_RATIO = math.log(1.5)
MAX_LOAD_LEVEL = 16
_LEVEL_BOUNDS = tuple(math.exp(_LOG_LEVEL_RATIO * i) for i in range(MAX_LOAD_LEVEL))
# Assumed rate of slow answers before any was counted.
_PRIOR_SLOW_RATE = 0.08


class RateWindow:
    """Rate of bad answers, tracked by a slow and a fast moving average.

    A failing dependency raises the fast average within a few answers of the old
    version, long before the slow one. The fast one is the reference if it exceeds the
    slow one by a margin, so that a fault common to both versions does not count against
    the new one.
    """

    __slots__ = ("_fast", "_rate", "_slow", "bad_count", "count")

    PRIOR = 0.01
    _SLOW_WEIGHT = 1 / 400
    _FAST_WEIGHT = 1 / 16
    # Margin by which the fast rate must exceed the slow one to be used.
    _FAST_MARGIN = 0.15

    def __init__(self, prior=PRIOR):
        self.count = 0
        self.bad_count = 0
        self._slow = prior
        self._fast = prior
        self._rate = None

    def observe(self, is_bad):
        """Record one answer of the old version."""
        self.count += 1
        self.bad_count += is_bad
        self._rate = None
        # Until the window is full, the slow rate is a mean with a prior worth 20
        # answers, so that one early failure does not give a rate of 100 %.
        weight = max(self._SLOW_WEIGHT, 1 / (self.count + 20))
        self._slow += weight * (is_bad - self._slow)
        self._fast += self._FAST_WEIGHT * (is_bad - self._fast)

    @property
    def rate(self):
        """Reference rate, including a margin for its uncertainty."""
        if self._rate is None:
            self._rate = self._compute_rate()
        return self._rate

    def _compute_rate(self):
        effective = min(self.count, 400) + 20
        spread = math.sqrt(self._slow * (1 - self._slow) / effective)
        slow = max(self.PRIOR, self._slow + 0.5 * spread)
        if self._fast > slow + self._FAST_MARGIN:
            return self._fast
        return slow


class _Threshold:
    """Recent latencies at one load level and the threshold of slow ones."""

    __slots__ = ("_latest", "_position", "_since_refresh", "slow")

    def __init__(self):
        self._latest = array.array("f")
        self._position = 0
        self._since_refresh = 0
        self.slow = math.inf

    @property
    def is_known(self):
        return self.slow < math.inf

    def add(self, value):
        """Add a latency and return whether the threshold was recomputed."""
        if len(self._latest) < _WINDOW:
            self._latest.append(value)
        else:
            self._latest[self._position] = value
            self._position = (self._position + 1) % _WINDOW
        self._since_refresh += 1
        if self._since_refresh < _REFRESH_EVERY or len(self._latest) < _MIN_WINDOW:
            return False
        self._refresh()
        return True

    def _refresh(self):
        self._since_refresh = 0
        ordered = sorted(self._latest)
        self.slow = max(1.0, ordered[len(ordered) // 2] * SLOW_FACTOR)


class LatencyProfile:
    """Latencies of the old version by load, and its current rate of slow answers.

    As the share of the new version grows, the load moves from the old version's
    upstreams to the new one's. Comparing simultaneous answers would compare idle with
    loaded upstreams and find every good version slow near the end of its move. Each
    latency is therefore compared with the old version's latest ones at the same load
    per upstream, and the rate of slow answers with the old version's current rate at
    its current load.
    """

    __slots__ = ("_base_slow_ms_by_level", "_by_load", "_log_drift", "rates")

    def __init__(self):
        self._by_load = {}
        # Cache of values computed from ``_by_load``; cleared when that changes.
        self._base_slow_ms_by_level = {}
        self._log_drift = 0.0
        self.rates = RateWindow(_PRIOR_SLOW_RATE)

    @property
    def is_ready(self):
        """Whether there are enough answers of the old version to compare with."""
        return self.rates.count >= _REFRESH_EVERY

    def observe(self, value, load):
        """Record a latency of the old version at a load per upstream.

        Like the latencies of the new version, it is compared with earlier ones only.
        """
        drift = self.drift
        slow_ms = self.slow_ms(load)
        if slow_ms < math.inf:
            self.rates.observe(value > slow_ms)
            self._update_drift(
                value * SLOW_FACTOR * _LOAD_MISMATCH_FACTOR * drift / slow_ms
            )
        level = load_level(load)
        threshold = self._by_load.get(level)
        if threshold is None:
            threshold = self._by_load[level] = _Threshold()
        if threshold.add(value / drift):
            self._base_slow_ms_by_level.clear()

    @property
    def drift(self):
        """Factor by which the old version is slower than usual at its load; at least 1.

        A slow dependency affects both versions but is measured at the old version's
        current load; the same factor is allowed to the new version at another load.
        """
        return math.exp(max(0.0, self._log_drift))

    def _update_drift(self, ratio):
        step = math.log(max(ratio, 1e-3)) - self._log_drift
        self._log_drift += _DRIFT_WEIGHT * step

    def slow_ms(self, load):
        """Return the threshold of slow latencies at ``load``; infinite if unknown.

        If the old version was never observed at that load, the next higher load is
        used. Its latencies are larger, so a good version is not found slow by it.
        Beyond all observed loads, latency is assumed to grow in proportion to the load.
        """
        level = load_level(load)
        base_slow_ms = self._base_slow_ms_by_level.get(level)
        if base_slow_ms is None:
            base_slow_ms = self._base_slow_ms_by_level[level] = self._base_slow_ms(
                level
            )
        return base_slow_ms * self.drift

    def _base_slow_ms(self, level):
        known = [item for item, found in self._by_load.items() if found.is_known]
        if not known:
            return math.inf
        at_least = [item for item in known if item >= level]
        nearest = min(at_least) if at_least else max(known)
        growth = _growth(nearest, level)
        return self._by_load[nearest].slow * growth * _LOAD_MISMATCH_FACTOR


def load_level(load):
    """Return the load level of a number of recent grants per upstream.

    Examples
    ========
    >>> load_level(0.5), load_level(2), load_level(9000) == MAX_LOAD_LEVEL
    (0, 2, True)
    """
    return bisect.bisect_left(_LEVEL_BOUNDS, load)


def _growth(known_level, level):
    return math.exp(_LOG_LEVEL_RATIO * max(0, level - known_level))


class Reference:
    """Reference of one lane: failures and latencies of the old version."""

    __slots__ = (
        "_count",
        "_limits",
        "_longest",
        "duration",
        "failures",
        "first_token",
        "time_per_token",
    )

    def __init__(self):
        self.failures = RateWindow()
        self.first_token = LatencyProfile()
        self.time_per_token = LatencyProfile()
        self.duration = LatencyProfile()
        # By load level: the longest duration and the number of answers.
        self._longest = {}
        # Cache of values computed from ``_longest``; cleared every few answers.
        self._limits = {}
        self._count = 0

    def observe_longest(self, total_ms, load):
        """Record the duration of a complete answer, for the overdue limit."""
        level = load_level(load)
        longest_ms, count = self._longest.get(level, (0.0, 0))
        # A single extreme duration decays over some hundred ordinary answers.
        decayed_ms = longest_ms * _DECAY
        self._longest[level] = (max(total_ms, decayed_ms), count + 1)
        self._count += 1
        if self._count % _REFRESH_EVERY == 0:
            self._limits.clear()

    @property
    def longest_ms(self):
        """Longest recent duration of an answer at any load; 0 if there are none."""
        return max((item[0] for item in self._longest.values()), default=0.0)

    def overdue_ms(self, load):
        """Return how long an answer may take before it counts as a failure.

        Beyond the observed loads the limit grows with the load, so that a burst does
        not make a good version overdue, while one that hangs is still detected.
        """
        level = load_level(load)
        limit_ms = self._limits.get(level)
        if limit_ms is None:
            limit_ms = self._limits[level] = self._limit_ms(level)
        return max(OVERDUE_FLOOR_MS, limit_ms * self.duration.drift)

    def _limit_ms(self, level):
        known = [
            item for item, found in self._longest.items() if found[1] >= _MIN_ANSWERS
        ]
        if not known:
            return math.inf
        at_least = [item for item in known if item >= level] or [max(known)]
        # The maximum of few answers may be too low, so all higher loads are included.
        longest_ms = max(self._longest[item][0] for item in at_least)
        return longest_ms * OVERDUE_FACTOR * _growth(max(at_least), level)
