"""How much slower than usual upstreams say that they are now, and for how long it holds."""

import math

import msgspec

from hemlockhoist.messages import SLOWDOWN_PERCENTS

USUAL_PERCENT = 100
# A decayed report within this of the usual value no longer counts.
MIN_EXCESS = 0.02
# Half-lives of the excess among which the best predictor is selected: 25 to 800 ms. With
# longer ones, an upstream that has recovered but gets no work would be avoided for many
# seconds. One that stays slow gets a request now and then, which costs less.
HALF_LIVES_MS = tuple(25.0 * 2**step for step in range(6))
# The half-life until successive reports tell more: 200 ms.
INITIAL_STEP = 3
# Initial error of the other half-lives for each step away from that one.
PRIOR_ERROR = 0.5
# A pair of reports tells nothing if the older one is within this of the usual value: the
# ratio of the newer one's excess to so small an excess is arbitrary.
MIN_TELLING_EXCESS = 0.1
# Factor by which earlier errors decay with each pair of reports: about 200 pairs count.
ERROR_DECAY = 0.995
# The ratio of two reports' excesses counts at most so far from the range 0 to 1, so that
# one extreme figure does not determine the half-life.
MAX_RATIO_OVERSHOOT = 1.0


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


class ReportedSlowdowns:
    """The latest slowdown that each upstream of a pool has reported.

    Load: upstreams share their machines with other workloads. At any moment some take
    several times longer, and a fraction of a second later these are others. Their
    learned pace follows too late for that. Reports arrive with answers only, so that
    the report of an upstream without work ages: its excess over the usual value halves
    in a time that is learned from the reports of all upstreams of the pool.

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

    __slots__ = ("_half_life", "_reports")

    def __init__(self):
        self._half_life = ReportHalfLife()
        self._reports = {}

    @property
    def any_reported(self):
        """Whether any upstream has reported how slow it is."""
        return bool(self._reports)

    @property
    def half_life_ms(self):
        """The time in which the excess of a report over the usual value halves."""
        return self._half_life.half_life_ms

    def has_reported(self, upstream_id):
        """Return whether an upstream has reported how slow it is."""
        return upstream_id in self._reports

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
            self._half_life.observe(known.factor, factor, gap_ms)
        self._reports[upstream_id] = SlowdownReport(factor, measured_ms)
        return True

    def factor(self, upstream_id, now_ms):
        """Return the expected processing time of an upstream, as a multiple of usual."""
        known = self._reports.get(upstream_id)
        if known is None or known.factor == 1.0:
            return 1.0
        age_ms = max(0, now_ms - known.measured_ms)
        excess = (known.factor - 1.0) * 0.5 ** (age_ms / self.half_life_ms)
        return 1.0 + excess if abs(excess) >= MIN_EXCESS else 1.0

    def possible_factors(self, upstream_id, now_ms):
        """Return the factors that an upstream may have: as reported, and as usual.

        A report that is more likely true than not excludes the usual value.
        """
        known = self._reports.get(upstream_id)
        if known is None:
            return (1.0,)
        if now_ms - known.measured_ms <= self.half_life_ms:
            return (known.factor,)
        return (known.factor, 1.0)

    def forget(self, upstream_id):
        """Forget an upstream that is gone or has restarted."""
        self._reports.pop(upstream_id, None)


class NoSlowdowns(ReportedSlowdowns):
    """Ignores all reports."""

    __slots__ = ()

    def observe(self, upstream_id, percent, measured_ms):
        """Return False: no report is used."""
        return False
