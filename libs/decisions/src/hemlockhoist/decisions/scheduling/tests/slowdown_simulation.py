"""Simulates a pool whose engines are slow for short periods, in memory.

Run as a program it prints what reports of the slowdowns are worth by their age.
"""

import heapq
import itertools
import random
import statistics
import sys

from hemlockhoist.base import InvariantLog
from hemlockhoist.decisions import Granted, Outcome, OutcomeKind, Upstream
from hemlockhoist.decisions.scheduling import DeclaredSlotsTracker, PoolScheduler
from hemlockhoist.decisions.scheduling.tests import builders as b
from hemlockhoist.declarations import Pool, PoolKind

PERIOD_MS = 600
SLOW_SHARE = 0.15
SLOW_FACTOR = 2.5
SLOTS = 4
TICK_MS = 50
# A third of the engines is of the older generation.
FAST_TOKEN_MS, SLOW_TOKEN_MS = 2.7, 12.0
BASE_COST, PROMPT_TOKEN_COST = 10, 0.0075
# Streams a second, time to the first event, and deadline.
STREAMS = ((52, 1_263, 12_600), (64, 1_045, 6_300), (58, 826, 15_500))
PROMPT_TOKENS, OUTPUT_TOKENS = (1_000, 16_000), (40, 200)
WARM_UP_MS = 5_000


class SlowingEngine:
    """An engine that is slow in some periods.

    Parameters
    ==========
    token_ms : float
    slow_periods : set of int
    """

    def __init__(self, token_ms, slow_periods):
        self.token_ms = token_ms
        self._slow_periods = slow_periods
        self._prompts_done_ms = 0.0

    def factor(self, at_ms):
        """Return the present processing time as a multiple of the usual one."""
        is_slow = int(at_ms // PERIOD_MS) in self._slow_periods
        return SLOW_FACTOR if is_slow else 1.0

    def run(self, request, now_ms):
        """Return the times of the first and last event, and the median token time."""
        prompt_ms = PROMPT_TOKEN_COST * request.prompt_tokens * self.token_ms
        start_ms = max(now_ms, self._prompts_done_ms)
        self._prompts_done_ms, _ = self._work(start_ms, prompt_ms)
        first_ms, _ = self._work(self._prompts_done_ms, BASE_COST * self.token_ms)
        decode_ms = request.output_tokens * self.token_ms
        end_ms, slow_ms = self._work(first_ms, decode_ms)
        factor = SLOW_FACTOR if slow_ms > decode_ms / 2 else 1.0
        return first_ms, end_ms, self.token_ms * factor

    def _work(self, at_ms, usual_ms):
        """Return when some work ends, and how much of it is done slowly."""
        slow_ms = 0.0
        while usual_ms > 0:
            factor = self.factor(at_ms)
            period_end_ms = (at_ms // PERIOD_MS + 1) * PERIOD_MS
            done_ms = min(usual_ms, (period_end_ms - at_ms) / factor)
            slow_ms += done_ms if factor > 1 else 0.0
            usual_ms -= done_ms
            at_ms = at_ms + done_ms * factor if usual_ms <= 0 else period_end_ms
        return at_ms, slow_ms


class SlowdownSimulation:
    """Runs requests from arrival to outcome.

    Parameters
    ==========
    seed : int
    report_age_ms : int, optional
        The scheduler knows each engine's slowdown of that long ago. By default it knows
        what it is told with the answers.
    kept : float, optional
        The part of an aged report that counts.
    reports : bool, optional
        Whether the engines report their slowdowns with their answers.
    engine_count : int, optional
    load : float, optional
        Factor on the streams per second.

    Attributes
    ==========
    first_ms : list of float
        Times to the first event.
    on_time, count : int
        Streams whose first event was in time, and all that were due.
    """

    def __init__(
        self, seed, report_age_ms=None, kept=1.0, reports=True, engine_count=45, load=1
    ):
        self._random = random.Random(seed)
        self._report_age_ms = report_age_ms
        self._kept = kept
        self._reports = reports
        self._load = load * engine_count / 45
        self.first_ms = []
        self.on_time = self.count = 0
        self._events, self._order = [], itertools.count()
        self.engines = {}
        for number in range(engine_count):
            token_ms = FAST_TOKEN_MS if number % 3 else SLOW_TOKEN_MS
            self.engines[f"u{number}"] = SlowingEngine(token_ms, set())
        self.tracker = DeclaredSlotsTracker()
        pool = Pool(name="p", kind=PoolKind.MODEL, stable_version="")
        self.scheduler = PoolScheduler.from_config(
            pool, (), "i1", None, InvariantLog(fatal=True), self.tracker
        )
        listed = [
            Upstream(
                upstream_id=name,
                pool="p",
                version="v1",
                address="127.0.0.1:1",
                slot_count=SLOTS,
            )
            for name in self.engines
        ]
        self.scheduler.set_upstreams(listed, 0)

    def run(self, until_ms):
        """Run the simulation; return it."""
        for period in range(until_ms // PERIOD_MS + 30):
            count = round(SLOW_SHARE * len(self.engines))
            for name in self._random.sample(sorted(self.engines), count):
                self.engines[name]._slow_periods.add(period)
        for per_s, target_ms, deadline_ms in STREAMS:
            at_ms = 0.0
            while at_ms < until_ms:
                at_ms += self._random.expovariate(per_s * self._load) * 1_000
                self._at(at_ms, self._submit, target_ms, deadline_ms)
        for at_ms in range(0, until_ms, TICK_MS):
            self._at(at_ms, self._tick)
        while self._events:
            at_ms, _, callback, arguments = heapq.heappop(self._events)
            callback(int(at_ms), *arguments)
        return self

    def _at(self, at_ms, callback, *arguments):
        heapq.heappush(self._events, (at_ms, next(self._order), callback, arguments))

    def _tick(self, now_ms):
        self._dispatch(self.scheduler.tick(now_ms), now_ms)

    def _submit(self, now_ms, target_ms, deadline_ms):
        if self._report_age_ms is not None:
            for name, engine in self.engines.items():
                reported = engine.factor(max(0, now_ms - self._report_age_ms))
                factor = 1.0 + self._kept * (reported - 1.0)
                self.tracker.get(name).set_slowdown(factor, now_ms)
        low, high = PROMPT_TOKENS
        request = b.request(
            now_ms=now_ms,
            prompt_tokens=int(low * (high / low) ** self._random.random()),
            output_tokens=self._random.randint(*OUTPUT_TOKENS),
            deadline_ms=now_ms + deadline_ms,
            first_token_by_ms=now_ms + target_ms,
        )
        self.count += now_ms >= WARM_UP_MS
        self._dispatch(self.scheduler.submit(request, now_ms), now_ms)

    def _dispatch(self, decisions, now_ms):
        for item in decisions:
            if isinstance(item, Granted):
                engine = self.engines[item.grant.upstream_id]
                first_ms, end_ms, token_ms = engine.run(item.request, now_ms)
                self._at(first_ms, self._on_first, item, now_ms)
                self._at(end_ms, self._on_end, item, now_ms, first_ms, token_ms)

    def _on_first(self, now_ms, item, sent_ms):
        request, grant = item.request, item.grant

        self._record(request, now_ms)
        if self._reports and self._report_age_ms is None:
            self._report(grant.upstream_id, now_ms)
        found = self.scheduler.observe_first_token(
            grant.grant_id, now_ms - sent_ms, now_ms
        )
        self._dispatch(found, now_ms)

    def _report(self, upstream_id, now_ms):
        percent = round(100 * self.engines[upstream_id].factor(now_ms))
        self.scheduler.observe_slowdown(upstream_id, percent, now_ms, now_ms)

    def _record(self, request, now_ms):
        arrived_ms = self._arrived_ms(request)
        if arrived_ms >= WARM_UP_MS:
            self.first_ms.append(now_ms - arrived_ms)
            self.on_time += now_ms <= request.first_token_by_ms

    @staticmethod
    def _arrived_ms(request):
        left_ms = request.deadline_ms - request.first_token_by_ms
        target_ms = {d - t: t for _, t, d in STREAMS}[left_ms]
        return request.first_token_by_ms - target_ms

    def _on_end(self, now_ms, item, sent_ms, first_ms, token_ms):
        outcome = Outcome(
            kind=OutcomeKind.SUCCESS,
            first_token_ms=int(first_ms - sent_ms),
            total_ms=now_ms - sent_ms,
            output_tokens=item.request.output_tokens,
            token_us=int(1_000 * token_ms),
        )
        found = self.scheduler.release(item.grant.grant_id, outcome, now_ms)
        self._dispatch(found, now_ms)

    def summary(self):
        """Return the share on time, and mean and p99 of the first event in ms."""
        p99_ms = statistics.quantiles(self.first_ms, n=100)[98]
        return self.on_time / self.count, statistics.fmean(self.first_ms), p99_ms


def main():
    """Print the gain by the age of reports, over some seeds."""
    seeds = range(int(sys.argv[1]) if len(sys.argv) > 1 else 3)
    load = float(sys.argv[2]) if len(sys.argv) > 2 else 1.0
    rows = [("no reports", {"reports": False})]
    for age_ms in (0, 100, 300, 600):
        kept = 1 - age_ms / PERIOD_MS
        rows.append((f"{age_ms} ms old", {"report_age_ms": age_ms}))
        rows.append((f"{age_ms} ms, decayed", {"report_age_ms": age_ms, "kept": kept}))
    if hasattr(PoolScheduler, "observe_slowdown"):
        rows.append(("with answers", {}))
    for name, options in rows:
        found = [SlowdownSimulation(s, load=load, **options).run(25_000) for s in seeds]
        shares, means, p99s = zip(*(item.summary() for item in found), strict=True)
        print(
            f"{name:18} {statistics.fmean(shares):7.4f} {statistics.fmean(means):6.1f}"
            f" {statistics.fmean(p99s):7.1f}  by seed {[f'{x:.4f}' for x in shares]}"
        )


if __name__ == "__main__":
    main()
