"""Evidence on the time per token of a new version, over all routes of a pool."""

import collections
import math

from hemlockhoist.decisions.versions.evidence import (
    COMPARED_PER_REFERENCE,
    MAX_COMPARISON_CREDIT,
    MAX_RECENT,
    SLOW_EFFECTS,
    Measure,
    latencies,
)
from hemlockhoist.decisions.versions.reference import LatencyProfile
from hemlockhoist.decisions.versions.sequential import SequentialTest


class PaceEvidence:
    """Compares how fast both versions generate, whatever the route.

    Load: a new version generates several times slower on all routes of a pool, none of
    which has many requests. Each route by itself takes long to know the old version's
    pace at each load, and then to see enough answers of the new one. The time per token
    depends on the engine and its load, not on the route, so all routes count together.

    Parameters
    ==========
    rules : hemlockhoist.declarations.VersionRules
    """

    __slots__ = ("_credit", "_profile", "recent", "test")

    def __init__(self, rules):
        self._profile = LatencyProfile()
        self._credit = MAX_COMPARISON_CREDIT
        self.test = SequentialTest.from_error_rates(
            SLOW_EFFECTS, rules.false_alarm_permille, rules.missed_permille
        )
        # Latest answers of the new version: upstream id, measure, whether slow.
        self.recent = collections.deque(maxlen=MAX_RECENT)

    def observe_old(self, outcome, load):
        """Add an answer of the old version, at a load per upstream, as a reference."""
        value = _time_per_token(outcome)
        if value is not None:
            self._credit = min(
                MAX_COMPARISON_CREDIT, self._credit + COMPARED_PER_REFERENCE
            )
            self._profile.observe(value, load)

    def observe_new(self, outcome, upstream_id, load):
        """Record an answer of the new version as evidence."""
        value = _time_per_token(outcome)
        slow_ms = self._profile.slow_ms(load)
        if value is None or slow_ms == math.inf or self._credit < 1:
            return
        self._credit -= 1
        is_slow = value > slow_ms
        self.test.observe(is_slow, self._profile.rates)
        self.recent.append((upstream_id, Measure.TIME_PER_TOKEN, is_slow))

    def verdict(self):
        """Return the ``Verdict`` on the new version."""
        return self.test.verdict(self._profile.rates)

    def discard_upstream(self, upstream_id):
        """Discard the evidence caused by one bad upstream."""
        self.test.restart_alarm()
        kept = [item for item in self.recent if item[0] != upstream_id]
        self.recent = collections.deque(kept, maxlen=MAX_RECENT)


def _time_per_token(outcome):
    return dict(latencies(outcome)).get(Measure.TIME_PER_TOKEN)
