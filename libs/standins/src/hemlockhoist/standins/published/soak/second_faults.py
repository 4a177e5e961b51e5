"""Replicas of a soak run that send second answers."""

import asyncio
import random

from hemlockhoist.standins.published.second_answers import SecondAnswers
from hemlockhoist.standins.published.soak.callers import now_s

# Fraction of the runs with such replicas; while they are there, no planned stop is
# without another fault beside it.
SECOND_ANSWER_RUNS = 0.5


class SecondFaultKinds:
    """Sends second answers; a base of ``SoakFaults``, whose attributes it uses."""

    async def send_second_answers(self, end_s):
        """Let replicas send second answers beside some of theirs, until a time."""
        rng = self._second_rng
        while now_s() < end_s:
            await asyncio.sleep(rng.uniform(0.3, 1.5))
            begin_s, replicas = now_s(), self._run.live_replicas()
            for replica in rng.sample(replicas, rng.randint(1, len(replicas))):
                # Without a length or chunks in most, as all that comes is then the body.
                replica.second_answers = SecondAnswers(
                    random.Random(rng.random()), rng.random() < 0.7, rng.randint(1, 3)
                )
            self.counts["send_second_answers"] = (
                self.counts.get("send_second_answers", 0) + 1
            )
            await asyncio.sleep(rng.uniform(1.5, 4.0))
            for replica in replicas:
                replica.second_answers = None
            self._record_disturbance(begin_s)

    def _has_second_answers(self):
        """Return whether replicas send second answers in this run."""
        if self._names:
            return self.send_second_answers.__name__ in self._names
        return self._second_rng.random() < SECOND_ANSWER_RUNS
