"""Simulates bursts whose refused callers return as told, early and often, or never."""

import collections
import random
import statistics

from hemlockhoist.decisions.scheduling.tests.scheduler_simulation import (
    RETRY_WAIT_FRACTION,
    RequestClass,
    SchedulerSimulation,
)

# Two engines of three are 4.4 times as fast as the third.
PACES_MS = {f"e{i}": 8.4 if i % 3 == 2 else 1.9 for i in range(15)}
SLOTS = 4
STREAMS = (
    RequestClass("bulletin", 0, 3_000, 200, 1_263, 12_600, 3_000),
    RequestClass("notice", 1, 600, 120, 1_045, 6_300, 2_400),
    RequestClass("article", 2, 1_500, 300, 826, 15_500, 3_000),
)
SHARE_OF_CLASS = (3, 4, 3)
CUSTOMERS = 8
USUAL_LOAD = 0.6
# Out of a hundred refused callers: those that do not return, and those that return
# at once and repeatedly.
NEVER_PERCENT, EARLY_PERCENT = 15, 10
EARLY_EVERY_MS, MAX_ATTEMPTS = 250, 8


class RetryBurst(SchedulerSimulation):
    """One burst of a multiple of the capacity over a usual load.

    Attributes
    ==========
    ends : dict of (int, str) to Counter
        How callers ended, by tier and customer: ``in_time`` and ``late`` without
        refusal, ``retry_in_time`` and ``retry_late`` after one, counted from the
        return; ``gave_up`` after a refusal, ``refused_twice``, ``refused_early`` (each time
        that it returned early), ``disconnected``.
    waits_ms : dict of (int, str) to list of int
        Times from first arrival to first token of callers that were refused once.
    """

    def __init__(self, load, burst_ms, skew=1, seed=1, **settings):
        super().__init__(PACES_MS, SLOTS, **settings)
        self.ends = collections.defaultdict(collections.Counter)
        self.waits_ms = collections.defaultdict(list)
        self._random = random.Random(seed)
        self._refusals = collections.Counter()
        units = sum(SLOTS / pace for pace in PACES_MS.values())
        mean = sum(
            share * (item.output_tokens + 10 + 0.0075 * item.prompt_tokens)
            for share, item in zip(SHARE_OF_CLASS, STREAMS, strict=True)
        ) / sum(SHARE_OF_CLASS)
        capacity_per_ms = units / mean
        self._arrive(0, 5_000, USUAL_LOAD * capacity_per_ms, 1)
        self._arrive(5_000, 5_000 + burst_ms, load * capacity_per_ms, skew)
        self._arrive(5_000 + burst_ms, 20_000, USUAL_LOAD * capacity_per_ms, 1)

    def _arrive(self, from_ms, until_ms, per_ms, skew):
        names = [f"c{number}" for number in range(CUSTOMERS)]
        weights = [skew, *[1] * (CUSTOMERS - 1)]
        now_ms = from_ms + self._random.expovariate(per_ms)
        while now_ms < until_ms:
            kind = self._random.choices(STREAMS, SHARE_OF_CLASS)[0]
            self.send(kind, int(now_ms), self._random.choices(names, weights)[0])
            now_ms += self._random.expovariate(per_ms)

    def _end(self, caller, end):
        self.ends[caller.request_class.rank, caller.customer][end] += 1

    def _on_first_token(self, now_ms, caller, grant, sent_ms):
        if not caller.answered:
            target_ms = caller.request_class.target_ms
            is_late = now_ms - caller.submitted_ms > target_ms
            prefix = "retry_" if self._refusals[caller.number] else ""
            self._end(caller, prefix + ("late" if is_late else "in_time"))
            if prefix:
                key = caller.request_class.rank, caller.customer
                self.waits_ms[key].append(now_ms - caller.at_ms)
        super()._on_first_token(now_ms, caller, grant, sent_ms)

    def _disconnect(self, now_ms, caller, request_id, attempts):
        before = caller.answered
        super()._disconnect(now_ms, caller, request_id, attempts)
        if caller.answered and not before:
            self._end(caller, "disconnected")

    def _on_refusal(self, caller, retry_after_ms, now_ms):
        caller.attempts += 1
        self._refusals[caller.number] += 1
        kind = caller.number * 37 % 100
        left_ms = caller.at_ms + caller.request_class.deadline_ms - now_ms
        wait_ms = min(retry_after_ms, RETRY_WAIT_FRACTION * left_ms)
        is_early = kind < NEVER_PERCENT + EARLY_PERCENT
        if kind < NEVER_PERCENT:
            self._give_up(caller, "gave_up")
        elif is_early and self._refusals[caller.number] < MAX_ATTEMPTS:
            self._schedule(now_ms + EARLY_EVERY_MS, self._submit, caller)
        elif self._refusals[caller.number] > 1:
            self._give_up(caller, "refused_early" if is_early else "refused_twice")
        else:
            self._schedule(now_ms + wait_ms, self._submit, caller)

    def _give_up(self, caller, end):
        caller.grant = "refused"
        self._end(caller, end)

    def slow_down(self, name, at_ms, factor):
        """Let an engine take a multiple of its time from a time on."""
        engine = self.engines[name]
        token_ms = factor * engine.token_ms
        self._schedule(at_ms, lambda _: setattr(engine, "token_ms", token_ms))

    def totals(self, selects=lambda rank, customer: True):
        """Return the counts of ends of the selected tiers and customers."""
        chosen = (ends for key, ends in self.ends.items() if selects(*key))
        return sum(chosen, collections.Counter())

    def mean_and_p99_wait_ms(self):
        """Return the times from first arrival to first token of those refused once."""
        waits = sorted(wait for item in self.waits_ms.values() for wait in item)
        return round(statistics.fmean(waits)), waits[int(0.99 * len(waits))]
