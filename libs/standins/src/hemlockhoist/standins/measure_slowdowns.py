"""Measures what reports of slowdowns are worth by their age, on a virtual clock.

For each way to place requests it prints the share of those on time, and the mean and the
99th percentile of the time to the first event in ms.
"""

import argparse
import heapq
import itertools
import random
import statistics

from hemlockhoist.base import InvariantLog
from hemlockhoist.decisions import (
    Granted,
    Outcome,
    OutcomeKind,
    Upstream,
    WorkRequest,
)
from hemlockhoist.decisions.scheduling import DeclaredSlotsTracker, PoolScheduler
from hemlockhoist.decisions.scheduling.slowdown import ReportedSlowdowns
from hemlockhoist.declarations import Pool, PoolKind

PERIOD_MS = 600
SLOW_SHARE = 0.15
SLOW_FACTOR = 2.5
SLOTS = 4
TICK_MS = 50
# A third of the engines is of the older generation.
ENGINE_COUNT, TOKENS_MS = 45, [2.7, 2.7, 12.0]
BASE_COST, PROMPT_TOKEN_COST = 10, 0.0075
# Streams a second, time to the first event, and deadline.
STREAMS = ((52, 1_263, 12_600), (64, 1_045, 6_300), (58, 826, 15_500))
PROMPT_TOKENS, OUTPUT_TOKENS = (1_000, 16_000), (40, 200)
WARM_UP_MS = 5_000
# A plain service: upstreams, slots, time of a call, and calls as above.
SERVICE_COUNT, SERVICE_SLOTS, SERVICE_MS = 3, 6, 130
SERVICE_CALLS = ((79, 500, 2_700),)


class SlowingEngine:
    """An engine that is slow in some periods.

    Parameters
    ==========
    token_ms : float

    Attributes
    ==========
    slow_periods : set of int
    """

    def __init__(self, token_ms):
        self.token_ms = token_ms
        self.slow_periods = set()
        self._prompts_done_ms = 0.0

    def factor(self, at_ms):
        """Return the present processing time as a multiple of the usual one."""
        is_slow = int(at_ms // PERIOD_MS) in self.slow_periods
        return SLOW_FACTOR if is_slow else 1.0

    def run(self, request, now_ms):
        """Return the times of the first and last event, and the median token time."""
        if not request.output_tokens:
            end_ms, _ = self._work(now_ms, self.token_ms)
            return end_ms, end_ms, 0
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


class AgedSlowdowns(ReportedSlowdowns):
    """Knows how slow each engine was some time ago; learns from reports as usual.

    Parameters
    ==========
    engines : dict of str to SlowingEngine
    age_ms : int
    kept : float
        The part of an aged report that counts.
    """

    __slots__ = ("_age_ms", "_engines", "_kept")

    def __init__(self, engines, age_ms, kept):
        super().__init__()
        self._engines = engines
        self._age_ms = age_ms
        self._kept = kept

    def factor(self, upstream_id, now_ms):
        """Return how slow an engine was, as far as it counts."""
        engine = self._engines[upstream_id]
        return 1.0 + self._kept * (engine.factor(max(0, now_ms - self._age_ms)) - 1.0)


class SlowdownSimulation:
    """Runs requests from arrival to outcome.

    Parameters
    ==========
    seed : int
    report_age_ms : int, optional
        Requests are placed by each engine's slowdown of that long ago. By default they
        are placed by what the scheduler is told with the answers.
    kept : float, optional
        The part of an aged report that counts.
    reports : bool, optional
        Whether the engines report their slowdowns with their answers.
    load : float, optional
        Factor on the streams per second.
    is_service : bool, optional
        Whether it is a plain service, whose answers are calls.

    Attributes
    ==========
    first_ms : list of float
        Times to the first event.
    on_time, count : int
        Streams whose first event was in time, and all that were due.
    """

    def __init__(
        self,
        seed,
        report_age_ms=None,
        kept=1.0,
        reports=True,
        load=1,
        is_service=False,
    ):
        self._random = random.Random(seed)
        self._report_age_ms = report_age_ms
        self._reports = reports
        self._is_service = is_service
        self._load = load
        self.first_ms = []
        self.on_time = self.count = 0
        self._arrivals_ms = {}
        self._events, self._order = [], itertools.count()
        self.engines = {}
        if is_service:
            slots, tokens_ms = SERVICE_SLOTS, [SERVICE_MS] * SERVICE_COUNT
        else:
            slots, tokens_ms = SLOTS, TOKENS_MS * (ENGINE_COUNT // len(TOKENS_MS))
        for number, token_ms in enumerate(tokens_ms):
            self.engines[f"u{number}"] = SlowingEngine(token_ms)
        slowdowns = None
        if report_age_ms is not None:
            slowdowns = AgedSlowdowns(self.engines, report_age_ms, kept)
        self.tracker = DeclaredSlotsTracker(slowdowns=slowdowns)
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
                slot_count=slots,
            )
            for name in self.engines
        ]
        self.scheduler.set_upstreams(listed, 0)

    def run(self, until_ms):
        """Run the simulation; return it."""
        for period in range(until_ms // PERIOD_MS + 30):
            # Of few upstreams, the share is that over time.
            count = int(SLOW_SHARE * len(self.engines) + self._random.random())
            for name in self._random.sample(sorted(self.engines), count):
                self.engines[name].slow_periods.add(period)
        for per_s, target_ms, deadline_ms in (
            SERVICE_CALLS if self._is_service else STREAMS
        ):
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
            for name in self.engines:
                self.tracker._speeds._apply(name, self.tracker.get(name), now_ms)
        low, high = PROMPT_TOKENS
        prompt_tokens = int(low * (high / low) ** self._random.random())
        output_tokens = self._random.randint(*OUTPUT_TOKENS)
        request = WorkRequest(
            request_id=f"r{len(self._arrivals_ms)}",
            route="chat",
            customer="aulas",
            tier_rank=0,
            entry_host="h1",
            prompt_tokens=0 if self._is_service else prompt_tokens,
            output_tokens=0 if self._is_service else output_tokens,
            deadline_ms=now_ms + deadline_ms,
            first_token_by_ms=now_ms + target_ms,
        )
        self._arrivals_ms[request.request_id] = now_ms
        self.count += now_ms >= WARM_UP_MS
        self._dispatch(self.scheduler.submit(request, now_ms), now_ms)

    def _dispatch(self, decisions, now_ms):
        for item in decisions:
            if isinstance(item, Granted):
                engine = self.engines[item.grant.upstream_id]
                first_ms, end_ms, token_ms = engine.run(item.request, now_ms)
                if not self._is_service:
                    self._at(first_ms, self._on_first, item, now_ms)
                self._at(end_ms, self._on_end, item, now_ms, first_ms, token_ms)

    def _on_first(self, now_ms, item, sent_ms):
        grant = item.grant
        self._on_head(item.request, grant.upstream_id, now_ms)
        found = self.scheduler.observe_first_token(
            grant.grant_id, now_ms - sent_ms, now_ms
        )
        self._dispatch(found, now_ms)

    def _on_head(self, request, upstream_id, now_ms):
        self._record(request, now_ms)
        if not self._reports:
            return
        percent = round(100 * self.engines[upstream_id].factor(now_ms))
        self.scheduler.observe_slowdown(upstream_id, percent, now_ms, now_ms)

    def _record(self, request, now_ms):
        arrived_ms = self._arrivals_ms[request.request_id]
        if arrived_ms >= WARM_UP_MS:
            self.first_ms.append(now_ms - arrived_ms)
            self.on_time += now_ms <= request.first_token_by_ms

    def _on_end(self, now_ms, item, sent_ms, first_ms, token_ms):
        if self._is_service:
            self._on_head(item.request, item.grant.upstream_id, now_ms)
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
    parser = argparse.ArgumentParser(description=main.__doc__)
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--load", type=float, default=1.0)
    parser.add_argument("--service", action="store_true")
    arguments = parser.parse_args()
    rows = {"no reports": {"reports": False}, "with answers": {}}
    for age_ms in (0, 100, 300, 600):
        kept = 1 - age_ms / PERIOD_MS
        rows[f"{age_ms} ms old"] = {"report_age_ms": age_ms}
        rows[f"{age_ms} ms, decayed"] = {"report_age_ms": age_ms, "kept": kept}
    for name, options in rows.items():
        options |= {"load": arguments.load, "is_service": arguments.service}
        found = [
            SlowdownSimulation(seed, **options).run(25_000).summary()
            for seed in range(arguments.seeds)
        ]
        share, mean_ms, p99_ms = (
            statistics.fmean(values) for values in zip(*found, strict=True)
        )
        by_seed = " ".join(f"{values[1]:.1f}" for values in found)
        print(
            f"{name:16} {share:.4f} {mean_ms:6.1f} {p99_ms:7.1f}  mean by seed {by_seed}"
        )


if __name__ == "__main__":
    main()
