"""Simpler ways to move versions, kept to compare with."""

import random

from hemlockhoist.decisions import OutcomeKind, VersionPolicy

_SHARES = (0.01, 0.1, 0.25, 0.5, 1.0)


class FixedSteps(VersionPolicy):
    """Widens by time alone, and never looks back.

    Parameters
    ==========
    end_ms : int
    seed : int
        Shares are drawn.
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
        """Return the version that the draw falls on."""
        is_new = not self.rolled_back and self._random.random() < self._share(now_ms)
        return ("v2",) if is_new else ("v1",)

    def _share(self, now_ms):
        step = int(now_ms / self._end_ms * len(_SHARES) * 1.05)
        return _SHARES[min(step, len(_SHARES) - 1)]


class FixedThreshold(FixedSteps):
    """Widens by time, and takes back above a fixed rate of failures.

    Looks at the latest 100 answers of the new version once there are 20.
    """

    __slots__ = ("_latest",)

    LIMIT = 0.05
    WINDOW = 100
    MIN_ANSWERS = 20

    def __init__(self, end_ms, seed):
        super().__init__(end_ms, seed)
        self._latest = []

    def on_outcome(self, request, version, outcome, now_ms, upstream_id=""):
        """Count a failure of the new version."""
        if version != "v2":
            return
        self._latest.append(outcome.kind is not OutcomeKind.SUCCESS)
        del self._latest[: -self.WINDOW]
        count = len(self._latest)
        if count >= self.MIN_ANSWERS and sum(self._latest) > self.LIMIT * count:
            self.rolled_back = True
