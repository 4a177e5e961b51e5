"""Simple version policies, as baselines for comparison."""

import random

from hemlockhoist.decisions import OutcomeKind, VersionPolicy

_TRAFFIC_SHARES = (0.01, 0.1, 0.25, 0.5, 1.0)


class FixedSteps(VersionPolicy):
    """Increases the traffic share by time alone and never rolls back.

    Parameters
    ==========
    end_ms : int
    seed : int
        Seed of the random choice between the versions.
    """

    __slots__ = ("_end_ms", "_random", "rolled_back")

    def __init__(self, end_ms, seed):
        self._end_ms = end_ms
        self._random = random.Random(seed)
        self.rolled_back = False

    def finished(self, now_ms):
        """Return whether all traffic is on the new version."""
        return not self.rolled_back and self._share(now_ms) >= 1

    def candidates(self, request, versions, now_ms):
        """Return a version drawn according to the current traffic share."""
        is_new = not self.rolled_back and self._random.random() < self._share(now_ms)
        return ("v2",) if is_new else ("v1",)

    def _share(self, now_ms):
        step = int(now_ms / self._end_ms * len(_TRAFFIC_SHARES) * 1.05)
        return _TRAFFIC_SHARES[min(step, len(_TRAFFIC_SHARES) - 1)]


class FixedThreshold(FixedSteps):
    """Increases the traffic share by time and rolls back above a fixed failure rate.

    The rate is that of the latest 100 answers of the new version, once there are 20.
    """

    __slots__ = ("_recent_failures",)

    LIMIT = 0.05
    WINDOW = 100
    MIN_ANSWERS = 20

    def __init__(self, end_ms, seed):
        super().__init__(end_ms, seed)
        self._recent_failures = []

    def on_outcome(self, request, version, outcome, now_ms, upstream_id=""):
        """Record an answer of the new version and roll back above the failure limit."""
        if version != "v2":
            return
        self._recent_failures.append(outcome.kind is not OutcomeKind.SUCCESS)
        del self._recent_failures[: -self.WINDOW]
        count = len(self._recent_failures)
        if (
            count >= self.MIN_ANSWERS
            and sum(self._recent_failures) > self.LIMIT * count
        ):
            self.rolled_back = True
