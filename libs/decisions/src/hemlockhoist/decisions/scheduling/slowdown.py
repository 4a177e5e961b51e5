"""How much slower than usual upstreams say that they are now, and for how long it holds."""

import collections
import math
import statistics

import msgspec

from hemlockhoist.messages import SLOWDOWN_PERCENTS

USUAL_PERCENT = 100
# A decayed report within this of the typical value no longer counts.
MIN_EXCESS = 0.02
# Half-lives of the excess among which the best predictor is selected: 25 to 800 ms. With
# longer ones, an upstream that has recovered but gets no work would be avoided for many
# seconds. One that stays slow gets a request now and then, which costs less.
HALF_LIVES_MS = tuple(25.0 * 2**step for step in range(6))
# The half-life until successive reports tell more: 200 ms.
INITIAL_STEP = 3
# Initial error of the other half-lives for each step away from that one.
PRIOR_ERROR = 0.5
# A pair of reports tells nothing if the older one is within this of the typical value:
# the ratio of the newer one's excess to so small an excess is arbitrary.
MIN_TELLING_EXCESS = 0.1
# Factor by which earlier errors decay with each pair of reports: about 200 pairs count.
ERROR_DECAY = 0.995
# The ratio of two reports' excesses counts at most so far from the range 0 to 1, so that
# one extreme figure does not determine the half-life.
MAX_RATIO_OVERSHOOT = 1.0
# Reports of one upstream count towards its typical value at this interval, so that many
# answers within one slowdown count as few.
TYPICAL_INTERVAL_MS = 500
# Number of these reports, and the number below which the typical value is not known.
MAX_TYPICAL_REPORTS = 15
MIN_TYPICAL_REPORTS = 6
# Without a report for this long, an upstream may have changed for good: it is tried again
# as one of the usual speed.
TYPICAL_TTL_MS = 10_000


class SlowdownReport(msgspec.Struct, frozen=True):
    """The latest report of an upstream.

    Parameters
    ==========
    factor : float
        Processing time as a multiple of the usual one.
    measured_ms : int
        When it was true, on the home's clock.
    """

    factor: float
    measured_ms: int


class ReportHalfLife:
    """Learns how fast reports lose their value, from pairs of successive reports.

    Each half-life predicts the newer report of a pair from the older one and the time
    between them. The one with the least error over the latest pairs is in force.

    Examples
    ========
    >>> from hemlockhoist.decisions.scheduling.slowdown import ReportHalfLife
    >>> half_life = ReportHalfLife()
    >>> half_life.half_life_ms
    200.0
    >>> for _ in range(100):
    ...     half_life.observe(older=2.5, newer=2.5, gap_ms=1_000)
    >>> half_life.half_life_ms
    800.0
    """

    __slots__ = ("_errors", "half_life_ms")

    def __init__(self):
        steps = range(len(HALF_LIVES_MS))
        self._errors = [PRIOR_ERROR * abs(step - INITIAL_STEP) for step in steps]
        self.half_life_ms = HALF_LIVES_MS[INITIAL_STEP]

    def observe(self, older, newer, gap_ms):
        """Add a pair of successive reports of one upstream.

        Parameters
        ==========
        older, newer : float
            Processing times as multiples of the usual one.
        gap_ms : int
            Time between them. A pair at the same time or whose older report says that
            all is about as usual tells nothing.
        """
        if gap_ms <= 0 or abs(older - 1.0) <= MIN_TELLING_EXCESS:
            return
        ratio = math.log(newer) / math.log(older)
        ratio = min(1.0 + MAX_RATIO_OVERSHOOT, max(-MAX_RATIO_OVERSHOOT, ratio))
        self._errors = [
            ERROR_DECAY * error + (ratio - 0.5 ** (gap_ms / half_life_ms)) ** 2
            for error, half_life_ms in zip(self._errors, HALF_LIVES_MS, strict=True)
        ]
        self.half_life_ms = HALF_LIVES_MS[self._errors.index(min(self._errors))]


class TypicalFactor:
    """The factor that an upstream reports most of the time: the median of its reports.

    Upstreams of slower hardware may always report more than 100 percent. A report that
    ages then loses its value towards what is typical of its upstream.
    """

    __slots__ = ("_factors", "_sampled_ms", "value")

    def __init__(self):
        self._factors = collections.deque(maxlen=MAX_TYPICAL_REPORTS)
        self._sampled_ms = -math.inf
        self.value = 1.0

    def observe(self, factor, measured_ms):
        """Add a report."""
        if measured_ms - self._sampled_ms < TYPICAL_INTERVAL_MS:
            return
        self._sampled_ms = measured_ms
        self._factors.append(factor)
        if len(self._factors) >= MIN_TYPICAL_REPORTS:
            self.value = statistics.median_low(self._factors)


class ReportedSlowdowns:
    """The latest slowdown that each upstream of a pool has reported.

    Load: upstreams share their machines with other workloads. At any moment some take
    several times longer, and a fraction of a second later these are others. Their
    learned pace follows too late for that. Reports arrive with answers only, so that
    the report of an upstream without work ages: its excess over the upstream's typical
    value halves in a time that is learned from the reports of all upstreams of the pool.

    Examples
    ========
    >>> from hemlockhoist.decisions.scheduling.slowdown import ReportedSlowdowns
    >>> slowdowns = ReportedSlowdowns()
    >>> slowdowns.any_reported
    False
    >>> slowdowns.observe("u1", 250, measured_ms=1_000)
    True
    >>> slowdowns.observe("u1", 100, measured_ms=900)
    False
    >>> [slowdowns.factor("u1", now_ms) for now_ms in (1_000, 1_200, 60_000)]
    [2.5, 1.75, 1.0]
    >>> slowdowns.factor("u2", 1_000)
    1.0
    """

    __slots__ = ("_half_life", "_reports", "_typical")

    def __init__(self):
        self._half_life = ReportHalfLife()
        self._reports = {}
        self._typical = {}

    @property
    def any_reported(self):
        """Whether any upstream has reported how slow it is."""
        return bool(self._reports)

    @property
    def half_life_ms(self):
        """The time in which the excess of a report over the typical value halves."""
        return self._half_life.half_life_ms

    def has_reported(self, upstream_id):
        """Return whether an upstream has reported how slow it is."""
        return upstream_id in self._reports

    def typical_factor(self, upstream_id):
        """Return the factor that an upstream reports most of the time; 1 if unknown."""
        typical = self._typical.get(upstream_id)
        return 1.0 if typical is None else typical.value

    def observe(self, upstream_id, percent, measured_ms):
        """Record a report; return whether it is used.

        Parameters
        ==========
        upstream_id : str
        percent : int
            Processing time in percent of the usual one. A value out of range, which a
            host of another release might send, is no report.
        measured_ms : int
            When it was true. A report older than the latest known one is ignored.
        """
        if percent not in SLOWDOWN_PERCENTS:
            return False
        factor = percent / USUAL_PERCENT
        known = self._reports.get(upstream_id)
        if known is not None:
            gap_ms = measured_ms - known.measured_ms
            if gap_ms < 0:
                return False
            typical = self.typical_factor(upstream_id)
            self._half_life.observe(known.factor / typical, factor / typical, gap_ms)
        self._reports[upstream_id] = SlowdownReport(factor, measured_ms)
        typical = self._typical.setdefault(upstream_id, TypicalFactor())
        typical.observe(factor, measured_ms)
        return True

    def factor(self, upstream_id, now_ms):
        """Return the expected processing time of an upstream, as a multiple of usual."""
        known = self._reports.get(upstream_id)
        if known is None:
            return 1.0
        age_ms = max(0, now_ms - known.measured_ms)
        is_recent = age_ms <= TYPICAL_TTL_MS
        typical = self.typical_factor(upstream_id) if is_recent else 1.0
        weight = 0.5 ** (age_ms / self.half_life_ms)
        if weight * abs(known.factor - typical) < MIN_EXCESS:
            return typical
        factor = weight * known.factor + (1.0 - weight) * typical
        # Rounding must not lead beyond what was reported.
        low, high = sorted((known.factor, typical))
        return min(high, max(low, factor))

    def possible_factors(self, upstream_id, now_ms):
        """Return the factors that an upstream may have: as reported, and as typical.

        A report that is more likely true than not excludes the typical value.
        """
        known = self._reports.get(upstream_id)
        if known is None:
            return (1.0,)
        if now_ms - known.measured_ms <= self.half_life_ms:
            return (known.factor,)
        return (known.factor, self.typical_factor(upstream_id))

    def forget(self, upstream_id):
        """Forget an upstream that is gone or has restarted."""
        self._reports.pop(upstream_id, None)
        self._typical.pop(upstream_id, None)


class NoSlowdowns(ReportedSlowdowns):
    """Ignores all reports."""

    __slots__ = ()

    def observe(self, upstream_id, percent, measured_ms):
        """Return False: no report is used."""
        return False
