"""Outlier ejection: slow or failing upstreams are ejected, probed and ramped up."""

import enum
import statistics

# Consecutive failures after which an upstream is ejected.
MAX_FAILURES = 3
# An upstream this many times slower than the median of its generation is ejected. Load
# alone accounts for a factor of two between full and half-empty batches.
SLOW_RATIO = 3.0
# A probe no slower than this multiple of the reference counts as successful.
RECOVERED_RATIO = 2.0
MIN_SAMPLES = 4
# At most one upstream of a pool in this many is ejected at a time. If more are slow,
# the cause is the load, and ejecting them would slow the others down further.
UPSTREAMS_PER_EJECTION = 3
FIRST_EJECTION_MS = 5_000
MAX_EJECTION_MS = 60_000
PROBES_TO_RECOVER = 2
# After recovery the slots grow from one to the limit within this time: the engine has a
# cold cache, and a full batch at once would make it slow again.
RAMP_MS = 10_000
# Time for which a failure that does not eject an upstream lowers its preference.
FAILURE_MEMORY_MS = 10_000
# Time after a failure at which one request tests the upstream. It doubles, up to the
# memory, when the upstream fails again later, and is reset after a longer time without
# a failure.
FIRST_TEST_MS = 1_000
TEST_RESET_MS = 60_000
_SLOWNESS_EWMA_WEIGHT = 0.2


class HealthState(enum.Enum):
    """State of an upstream, which determines how many requests it may hold."""

    HEALTHY = "healthy"
    EJECTED = "ejected"
    PROBING = "probing"
    RAMPING = "ramping"


class Health:
    """The health of one upstream, derived from the outcomes of its grants."""

    __slots__ = (
        "_ejection_ms",
        "_entered_ms",
        "_failed_ms",
        "_failures",
        "_good_probes",
        "_samples",
        "_test_after_ms",
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
        self._test_after_ms = 0
        self._entered_ms = 0
        self._ejection_ms = FIRST_EJECTION_MS

    @property
    def is_ejected(self):
        """Whether the upstream is ejected or probing and counts towards the bound."""
        return self.state in (HealthState.EJECTED, HealthState.PROBING)

    @property
    def has_enough_samples(self):
        """Whether there are enough answers for a comparison with other upstreams."""
        return self._samples >= MIN_SAMPLES

    def slots(self, limit, now_ms):
        """Return how many of ``limit`` slots may be used now."""
        if self.state is HealthState.HEALTHY:
            return limit
        if self.state is HealthState.EJECTED:
            if now_ms - self._entered_ms < self._ejection_ms:
                return 0
            self._enter(HealthState.PROBING, now_ms)
            return 1
        if self.state is HealthState.PROBING:
            return 1
        ramp_fraction = (now_ms - self._entered_ms) / RAMP_MS
        if ramp_fraction >= 1.0:
            self._enter(HealthState.HEALTHY, now_ms)
            self._ejection_ms = FIRST_EJECTION_MS
            return limit
        return max(1, int(limit * ramp_fraction))

    def observe_slowness(self, ratio, now_ms):
        """Record a successful answer and the ratio of its time to the expected one."""
        self._failures = 0
        self._samples += 1
        self.slowness += _SLOWNESS_EWMA_WEIGHT * (ratio - self.slowness)

    def observe_failure(self, now_ms):
        """Record a failed answer or a failed connection attempt."""
        quiet_ms = now_ms - self._failed_ms
        if not self._test_after_ms or quiet_ms > TEST_RESET_MS:
            self._test_after_ms = FIRST_TEST_MS
        elif quiet_ms >= self._test_after_ms:
            self._test_after_ms = min(FAILURE_MEMORY_MS, 2 * self._test_after_ms)
        self._failures += 1
        self._failed_ms = now_ms

    def recent_failures(self, now_ms):
        """Return the number of consecutive failures, 0 if the last is long ago."""
        if now_ms - self._failed_ms > FAILURE_MEMORY_MS:
            return 0
        return self._failures

    def is_test_due(self, in_flight, now_ms):
        """Return whether one request should test the upstream after its failure.

        Load: a pool with free slots, in which an upstream that failed once is never
        chosen while the memory of its failure lasts. Failure prevented: the others fail
        later, and the requests that are sent again after that are the first to test it.
        """
        if not self._failures or in_flight:
            return False
        return now_ms - self._failed_ms >= self._test_after_ms

    def failed_too_often(self):
        """Return whether the consecutive failures justify an ejection."""
        return self._failures >= MAX_FAILURES

    def observe_probe(self, is_good, granted_ms, now_ms):
        """Record the outcome of a probe; ignored in other states.

        A grant from before the probing says nothing about the upstream's recovery.
        """
        if self.state is not HealthState.PROBING or granted_ms < self._entered_ms:
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
        """Assign no work for a time that doubles with each consecutive ejection."""
        if self.state is not HealthState.HEALTHY:
            self._ejection_ms = min(MAX_EJECTION_MS, 2 * self._ejection_ms)
        self._enter(HealthState.EJECTED, now_ms)

    def readmit(self, now_ms):
        """End the ejection early, as too few other upstreams are left."""
        self._enter(HealthState.RAMPING, now_ms)
        self.slowness = 1.0
        self._samples = 0

    def _enter(self, state, now_ms):
        self.state = state
        self._entered_ms = now_ms
        self._failures = 0
        self._good_probes = 0


def reference_slowness(own, peers):
    """Return the slowness that an upstream's is compared with, or None.

    Parameters
    ==========
    own : Health
    peers : sequence of Health
        The other upstreams of its generation and pool.

    Returns
    =======
    float or None
        Median of the peers that are not ejected and have enough samples; None without
        such peers. The only upstream of a generation is not compared, as slower
        hardware is not a fault.
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
    """Return whether more upstreams are ejected than the bound allows."""
    ejected = sum(1 for item in healths if item.is_ejected)
    return ejected * UPSTREAMS_PER_EJECTION > len(healths)


def may_eject(healths):
    """Return whether the bound allows ejecting one more upstream."""
    ejected = sum(1 for item in healths if item.is_ejected)
    return (ejected + 1) * UPSTREAMS_PER_EJECTION <= len(healths)
