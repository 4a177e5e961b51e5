"""What the old version does at the same time: rates and usual latencies.

Load makes every version slower and a failing dependency makes every version fail.
So nothing is compared with a fixed threshold: "slow" means slower than the old
version's recent median by a factor, and how often the old version itself is that
slow, in its latest answers, is the rate the new one is tested against.
"""

import array
import bisect
import math

# An answer is slow from this multiple of the old version's recent median on. With
# 1.5 the coming and going of a burst alone made one good answer in three slow.
SLOW_FACTOR = 2.0
# An answer is overdue when it takes this multiple of the old version's recent
# maximum: it is waited for no longer before it counts as a failure.
OVERDUE_FACTOR = 2.0
# Below this no answer is overdue: the old version has answered too few times, or so
# fast that a pause of a process would count.
OVERDUE_FLOOR_MS = 2_000
_WINDOW = 64
# With fewer, the median is so uncertain that a good version may seem slow.
_MIN_WINDOW = 24
_REFRESH_EVERY = 8
# Two upstreams at one level are not at the same load, and the old version's answers
# at it may be minutes old: the new version is given this much more.
_LOAD_MISMATCH_FACTOR = 1.1
# How fast the drift of the old version's latencies is followed: a slowdown is taken
# up within some ten of its answers.
_DRIFT_WEIGHT = 1 / 12
# Answers at a load before their longest is trusted, and how fast it is forgotten.
_MIN_ANSWERS = 8
_DECAY = 0.997
# Loads are told apart by this ratio, up to some hundred grants per upstream.
_LOG_LEVEL_RATIO = math.log(1.5)
MAX_LOAD_LEVEL = 16
_LEVEL_BOUNDS = tuple(math.exp(_LOG_LEVEL_RATIO * i) for i in range(MAX_LOAD_LEVEL))
# Share of slow answers that is assumed before any was counted.
_PRIOR_SLOW_RATE = 0.08


class RateWindow:
    """A rate that follows its latest answers, slowly and fast.

    A failing dependency raises the fast rate within some answers of the old version,
    before the slow one has noticed; the larger of the two is the reference, so that
    trouble common to both versions is not held against the new one.
    """

    __slots__ = ("_fast", "_rate", "_slow", "bad_count", "count")

    PRIOR = 0.01
    _SLOW_WEIGHT = 1 / 400
    _FAST_WEIGHT = 1 / 16
    # How far the fast rate has to be above the slow one before it is taken.
    _FAST_MARGIN = 0.15

    def __init__(self, prior=PRIOR):
        self.count = 0
        self.bad_count = 0
        self._slow = prior
        self._fast = prior
        self._rate = None

    def observe(self, is_bad):
        """Take one answer of the old version."""
        self.count += 1
        self.bad_count += is_bad
        self._rate = None
        # Until the window is full the slow rate is a plain mean with a prior worth
        # 20 answers: one early failure is no rate of 100 %.
        weight = max(self._SLOW_WEIGHT, 1 / (self.count + 20))
        self._slow += weight * (is_bad - self._slow)
        self._fast += self._FAST_WEIGHT * (is_bad - self._fast)

    @property
    def rate(self):
        """The reference rate, with a margin for its own uncertainty."""
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
    """The recent latencies at one load, and what counts as slow beside them."""

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
        """Take a latency; return whether what counts as slow was worked out anew."""
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
    """The old version's latencies by load, and how often it is slow now.

    While a move widens, the old version's upstreams empty and the new one's fill. A
    comparison at one time would then be one of idle with loaded upstreams and would
    call every good version slow near its end. Each latency is therefore held against
    the old version's latest ones at the same load per upstream, and the rate of slow
    answers against the old version's rate now, at the load it has now.
    """

    __slots__ = ("_by_load", "_log_drift", "_base_slow_ms_by_level", "rates")

    def __init__(self):
        self._by_load = {}
        # Worked out from ``_by_load``, until it changes.
        self._base_slow_ms_by_level = {}
        self._log_drift = 0.0
        self.rates = RateWindow(_PRIOR_SLOW_RATE)

    @property
    def is_ready(self):
        """Whether the old version answered often enough to call a latency slow."""
        return self.rates.count >= _REFRESH_EVERY

    def observe(self, value, load):
        """Take a latency of the old version at a load per upstream.

        It is judged by those before it, as the new version's latencies are.
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
        """How much slower the old version is now than usual at its load; at least 1.

        A dependency that slows both versions strikes at the load that the old one
        has just then; the new one, at another load, is allowed the same.
        """
        return math.exp(max(0.0, self._log_drift))

    def _update_drift(self, ratio):
        step = math.log(max(ratio, 1e-3)) - self._log_drift
        self._log_drift += _DRIFT_WEIGHT * step

    def slow_ms(self, load):
        """Return from where on a latency is slow at ``load``; infinite if unknown.

        Where the old version was never seen at that load, the next higher load
        stands in: it is slower, so a good version is not called slow by it. Beyond
        all loads that were seen, latency is taken to grow as the load does.
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
    """Return the level of a number of recent grants per upstream.

    Examples
    ========
    >>> load_level(0.5), load_level(2), load_level(9000) == MAX_LOAD_LEVEL
    (0, 2, True)
    """
    return bisect.bisect_left(_LEVEL_BOUNDS, load)


def _growth(known_level, level):
    return math.exp(_LOG_LEVEL_RATIO * max(0, level - known_level))


class Reference:
    """The old version on one route: failures, first token, pace, and duration."""

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
        # By load: the longest answer and how many there were.
        self._longest = {}
        # Worked out from ``_longest``, and kept for some answers.
        self._limits = {}
        self._count = 0

    def observe_longest(self, total_ms, load):
        """Remember how long whole answers take, to know when one is overdue."""
        level = load_level(load)
        longest_ms, count = self._longest.get(level, (0.0, 0))
        # A single extreme answer is forgotten over some hundred ordinary ones.
        decayed_ms = longest_ms * _DECAY
        self._longest[level] = (max(total_ms, decayed_ms), count + 1)
        self._count += 1
        if self._count % _REFRESH_EVERY == 0:
            self._limits.clear()

    @property
    def longest_ms(self):
        """The longest answer lately, at any load; 0 while there are none."""
        return max((item[0] for item in self._longest.values()), default=0.0)

    def overdue_ms(self, load):
        """Return how long an answer may take before it counts as a failure.

        Beyond the loads that were seen the time grows with the load, so that a burst
        makes no good version overdue, and one that hangs is found all the same.
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
        # The longest of few answers is short: all higher loads have their say.
        longest_ms = max(self._longest[item][0] for item in at_least)
        return longest_ms * OVERDUE_FACTOR * _growth(max(at_least), level)
