"""Counts what a stand-in ran, and decides which calls a fault hits."""

import collections


class FractionSampler:
    """Hits a set share of calls, evenly spread and the same in each run."""

    __slots__ = ("_sum",)

    def __init__(self):
        self._sum = 0.0

    def is_selected(self, share):
        """Return whether this call is hit.

        Parameters
        ==========
        share : float
            0 to 1.
        """
        self._sum += share
        if self._sum >= 1.0 - 1e-9:
            self._sum -= 1.0
            return True
        return False


class RunCounter:
    """How often each request was begun and finished."""

    __slots__ = ("begun", "cancelled", "failed", "finished", "rejected")

    def __init__(self):
        self.begun = collections.Counter()
        self.finished = collections.Counter()
        self.failed = collections.Counter()
        self.rejected = collections.Counter()
        self.cancelled = collections.Counter()

    def as_json(self):
        """Return the counts as plain data; ``runs`` tells how often each began."""
        return {
            "runs": dict(self.begun),
            "finished": dict(self.finished),
            "failed": dict(self.failed),
            "rejected": dict(self.rejected),
            "cancelled": dict(self.cancelled),
            "doubled": sorted(key for key, n in self.begun.items() if n > 1),
        }
