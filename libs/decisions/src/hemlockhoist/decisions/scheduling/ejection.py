"""Upstreams that are slow or fail: ejected, probed, and let in slowly."""

import enum
import statistics

# Failures in a row after which an upstream is ejected.
MAX_FAILURES = 3
# An upstream this many times slower than its generation's median is ejected. Load
# alone makes a factor of two between full and half-empty batches.
SLOW_RATIO = 3.0
# A probe that is no slower than this has recovered.
RECOVERED_RATIO = 2.0
MIN_SAMPLES = 4
# Of the upstreams of a pool, at most one in this many is ejected at a time. Where
# more are slow, the cause is the load, and ejecting makes the rest slower still.
UPSTREAMS_PER_EJECTION = 3
FIRST_EJECTION_MS = 5_000
MAX_EJECTION_MS = 60_000
PROBES_TO_RECOVER = 2
# Places grow from one to the limit within this time: a just recovered engine has a
# cold cache, and a full batch at once would make it slow again.
RAMP_MS = 10_000
# A failure makes an upstream less preferred for this long, before the ejection.
FAILURE_MEMORY_MS = 10_000
_SLOWNESS_WEIGHT = 0.2


class HealthState(enum.Enum):
    """What an upstream may be given."""

    HEALTHY = "healthy"
    EJECTED = "ejected"
    PROBING = "probing"
    RAMPING = "ramping"


class Health:
    """The health of one upstream, from the outcomes of its grants."""

    __slots__ = (
        "_ejection_ms",
        "_failed_ms",
        "_failures",
        "_good_probes",
        "_samples",
        "_since_ms",
        "slowness",
        "state",
    )

    def __init__(self):
        self.state = HealthState.HEALTHY
        self.slowness = 1.0
        self._samples = 0
        self._failures = 0
        self._good_probes = 0
        self._failed_ms = 0
        self._since_ms = 0
        self._ejection_ms = FIRST_EJECTION_MS

    @property
    def is_ejected(self):
        """Whether it counts against the pool's bound of ejected upstreams."""
        return self.state in (HealthState.EJECTED, HealthState.PROBING)

    @property
    def has_enough_samples(self):
        """Whether there are enough answers to compare it by."""
        return self._samples >= MIN_SAMPLES

    def slots(self, limit, now_ms):
        """Return how many of ``limit`` places may be used now."""
        if self.state is HealthState.HEALTHY:
            return limit
        if self.state is HealthState.EJECTED:
            if now_ms - self._since_ms < self._ejection_ms:
                return 0
            self._enter(HealthState.PROBING, now_ms)
            return 1
        if self.state is HealthState.PROBING:
            return 1
        part = (now_ms - self._since_ms) / RAMP_MS
        if part >= 1.0:
            self._enter(HealthState.HEALTHY, now_ms)
            self._ejection_ms = FIRST_EJECTION_MS
            return limit
        return max(1, int(limit * part))

    def observe_slowness(self, ratio, now_ms):
        """Take an answer's time as a multiple of what the pool needs for it."""
        self._failures = 0
        self._samples += 1
        self.slowness += _SLOWNESS_WEIGHT * (ratio - self.slowness)

    def observe_failure(self, now_ms):
        """Take a failed answer or a failed connect."""
        self._failures += 1
        self._failed_ms = now_ms

    def recent_failures(self, now_ms):
        """Return the failures in a row, unless the last is long past."""
        if now_ms - self._failed_ms > FAILURE_MEMORY_MS:
            return 0
        return self._failures

    def failed_too_often(self):
        """Return whether failures alone are reason to eject."""
        return self._failures >= MAX_FAILURES

    def observe_probe(self, is_good, now_ms):
        """Take the outcome of a probe."""
        if self.state is not HealthState.PROBING:
            return
        if not is_good:
            self.eject(now_ms)
            return
        self._good_probes += 1
        if self._good_probes >= PROBES_TO_RECOVER:
            self._enter(HealthState.RAMPING, now_ms)
            self.slowness = 1.0
            self._samples = 0

    def eject(self, now_ms):
        """Give it no work for a time that doubles with each ejection in a row."""
        if self.state is not HealthState.HEALTHY:
            self._ejection_ms = min(MAX_EJECTION_MS, 2 * self._ejection_ms)
        self._enter(HealthState.EJECTED, now_ms)

    def readmit(self, now_ms):
        """End the ejection early: too few others are left."""
        self._enter(HealthState.RAMPING, now_ms)
        self.slowness = 1.0
        self._samples = 0

    def _enter(self, state, now_ms):
        self.state = state
        self._since_ms = now_ms
        self._failures = 0
        self._good_probes = 0


def reference_slowness(own, peers):
    """Return what an upstream's slowness is compared with, or None.

    Parameters
    ==========
    own : Health
    peers : sequence of Health
        Of the other upstreams of its generation and pool.

    Returns
    =======
    float or None
        The median of the healthy peers that have answered often enough. A generation
        that has one upstream is not compared: slower hardware is no fault.
    """
    known = [
        item.slowness
        for item in peers
        if item.has_enough_samples and not item.is_ejected
    ]
    if not known:
        return None
    return statistics.median(known)


def exceeds_ejection_bound(healths):
    """Return whether more upstreams are ejected than the pool's bound allows."""
    out = sum(1 for item in healths if item.is_ejected)
    return out * UPSTREAMS_PER_EJECTION > len(healths)


def may_eject(healths):
    """Return whether one more upstream of the pool may be ejected."""
    out = sum(1 for item in healths if item.is_ejected)
    return (out + 1) * UPSTREAMS_PER_EJECTION <= len(healths)
