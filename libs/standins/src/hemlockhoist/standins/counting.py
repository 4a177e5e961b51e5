"""Counts the requests run by a stand-in and selects those that a fault affects."""

import collections


class FractionSampler:
    """Selects a given fraction of calls, evenly spaced and deterministic."""

    __slots__ = ("_accumulated",)

    def __init__(self):
        self._accumulated = 0.0

    def is_selected(self, share):
        """Return whether this call is selected.

        Parameters
        ==========
        share : float
            Fraction of calls to select, from 0 to 1.
        """
        self._accumulated += share
        if self._accumulated >= 1.0 - 1e-9:
            self._accumulated -= 1.0
            return True
        return False


class RunCounter:
    """Counts how often each request was begun and how it ended."""

    __slots__ = ("begun", "cancelled", "failed", "finished", "rejected")

    def __init__(self):
        self.begun = collections.Counter()
        self.finished = collections.Counter()
        self.failed = collections.Counter()
        self.rejected = collections.Counter()
        self.cancelled = collections.Counter()

    def as_json(self):
        """Return the counts as plain data; ``runs`` counts how often each began."""
        return {
            "runs": dict(self.begun),
            "finished": dict(self.finished),
            "failed": dict(self.failed),
            "rejected": dict(self.rejected),
            "cancelled": dict(self.cancelled),
            "doubled": sorted(key for key, n in self.begun.items() if n > 1),
        }
