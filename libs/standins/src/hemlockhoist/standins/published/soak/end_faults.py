"""Replicas that close their answers too early, in order."""

import asyncio

from hemlockhoist.standins.published.behaviours import EarlyEnds
from hemlockhoist.standins.published.soak.callers import now_s

# Fraction of the runs with such replicas; while they are there, no planned stop is
# without another fault beside it.
CLOSING_RUNS = 0.5


class EndFaultKinds:
    """Ends answers too early; a base of ``SoakFaults``, whose attributes it uses."""

    async def close_answers(self, end_s):
        """Let replicas close some of their answers before their end, until a time."""
        rng = self._ends_rng
        while now_s() < end_s:
            await asyncio.sleep(rng.uniform(0.3, 1.5))
            begin_s, replicas = now_s(), self._run.live_replicas()
            for replica in rng.sample(replicas, rng.randint(1, len(replicas))):
                # Without chunks in most, as these are the ends that prove nothing.
                replica.early_ends = EarlyEnds(rng.random() < 0.7, rng.randint(2, 4))
            self.counts["close_answers"] = self.counts.get("close_answers", 0) + 1
            await asyncio.sleep(rng.uniform(1.5, 4.0))
            for replica in replicas:
                replica.early_ends = None
            self._record_disturbance(begin_s)

    def _has_closing_replicas(self):
        """Return whether replicas close answers too early in this run."""
        if self._names:
            return self.close_answers.__name__ in self._names
        return self._ends_rng.random() < CLOSING_RUNS
