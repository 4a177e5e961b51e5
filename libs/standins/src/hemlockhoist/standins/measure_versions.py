"""Measures how version moves end: good versions in time, bad ones rolled back.

Usage: ``python -m hemlockhoist.standins.measure_versions [--seeds N]``. Runs the
decision code on a virtual clock against simulated upstreams, without sockets.
"""

import argparse
import concurrent.futures
import heapq
import math
import os
import statistics
import time

import msgspec

from hemlockhoist.base import InvariantLog
from hemlockhoist.decisions import Outcome, OutcomeKind, WorkRequest
from hemlockhoist.decisions.versions import (
    MoveController,
    MoveRequest,
    MoveState,
    start_move,
)
from hemlockhoist.standins.version_baselines import FixedSteps, FixedThreshold
from hemlockhoist.standins.version_models import (
    BAD_KINDS,
    GOOD_KINDS,
    VersionKind,
    VersionScenario,
)

TICK_MS = 500
UNIX_MS = 1_700_000_000_000
_NORMAL_95 = 1.96
POLICIES = ("hemlockhoist", "fixed threshold", "fixed steps")


class MoveResult(msgspec.Struct, kw_only=True):
    """Result of one move of one seeded version."""

    kind: VersionKind
    deployment: str
    finished_ms: int = -1
    rolled_back_ms: int = -1
    requests: int = 0
    new_requests: int = 0
    new_non_idempotent: int = 0
    bad_requests: int = 0
    bad_non_idempotent: int = 0
    requests_after_first_bad: int = 0
    non_idempotent_after_first_bad: int = 0
    first_bad_grant_ms: int = -1
    last_bad_grant_ms: int = -1
    late_reported: int = 0
    reason: str = ""

    @property
    def exposed_ms(self):
        """Time from the first bad answer's grant to the version's last grant."""
        if self.first_bad_grant_ms < 0:
            return 0
        return self.last_bad_grant_ms - self.first_bad_grant_ms


class ControllerDriver:
    """Drives the product's controller with a store that is always available."""

    def __init__(self, scenario):
        self.log = InvariantLog(fatal=True)
        order = MoveRequest(
            move_id="m1",
            pool=scenario.deployment.name,
            from_version="v1",
            to_version="v2",
            moved_by_unix_ms=UNIX_MS + scenario.deployment.window_s * 1000,
            reason="measurement",
            author="measurement",
        )
        row = start_move(None, order, UNIX_MS)
        self.policy = MoveController.from_config(
            scenario.deployment.pool, row, 0, UNIX_MS, self.log
        )

    @property
    def rolled_back(self):
        """Whether the version has been rolled back."""
        return self.policy.verdict is not None

    @property
    def reason(self):
        """Reason of the rollback with its figures; empty without rollback."""
        return self.policy.verdict.reason if self.rolled_back else ""

    def finished(self, now_ms):
        """Return whether the move has finished."""
        return self.policy.row.state is MoveState.FINISHED

    def tick(self, now_ms):
        """Tick the controller and store its row; return the number of late events."""
        events = self.policy.tick(now_ms)
        wanted = self.policy.wanted_row(now_ms, fencing=1)
        if wanted is not None:
            self.policy.observe_row(wanted, now_ms)
        return sum(type(event).__name__ == "Late" for event in events)


class BaselineDriver:
    """Drives a baseline policy."""

    reason = ""

    def __init__(self, kind, scenario):
        self.policy = kind(scenario.deployment.window_s * 1000, scenario.seed)

    @property
    def rolled_back(self):
        """Whether the version has been rolled back."""
        return self.policy.rolled_back

    def finished(self, now_ms):
        """Return whether all traffic is on the new version."""
        return self.policy.finished(now_ms)

    def tick(self, now_ms):
        """Return 0: a baseline needs no ticks and never reports to be late."""
        return 0


def new_driver(policy, scenario):
    """Return the driver for the named policy."""
    if policy == "hemlockhoist":
        return ControllerDriver(scenario)
    kind = FixedSteps if policy == "fixed steps" else FixedThreshold
    return BaselineDriver(kind, scenario)


class MeasuredMove:
    """Simulates one move: grants and answers requests until the time window ends."""

    def __init__(self, policy, kind, seed):
        self.scenario = VersionScenario(kind, seed)
        self.driver = new_driver(policy, self.scenario)
        self.result = MoveResult(kind=kind, deployment=self.scenario.deployment.name)
        replicas = self.scenario.deployment.replicas
        self.in_flight = {"v1": [0] * replicas, "v2": [0] * replicas}
        self.pending_answers = []
        self.next_tick_ms = 0

    def execute(self):
        """Run the move to its end and return the result."""
        for sequence, (now_ms, route) in enumerate(self.scenario.arrivals()):
            self._advance(now_ms)
            if self.driver.rolled_back:
                break
            self._grant(sequence, route, now_ms)
        end_ms = self.scenario.deployment.window_s * 1000
        if not self.driver.rolled_back:
            self._advance(end_ms)
        return self.result

    def _advance(self, now_ms):
        while True:
            answer_ms = (
                self.pending_answers[0][0] if self.pending_answers else now_ms + 1
            )
            until_ms = min(answer_ms, self.next_tick_ms)
            if until_ms > now_ms:
                return
            if answer_ms <= self.next_tick_ms:
                self._complete(heapq.heappop(self.pending_answers))
            else:
                self._tick(self.next_tick_ms)
                self.next_tick_ms += TICK_MS
            if self.driver.rolled_back:
                self._record_rollback(until_ms)
                return

    def _tick(self, now_ms):
        self.result.late_reported += self.driver.tick(now_ms)
        if self.result.finished_ms < 0 and self.driver.finished(now_ms):
            self.result.finished_ms = now_ms

    def _record_rollback(self, now_ms):
        if self.result.rolled_back_ms < 0:
            self.result.rolled_back_ms = now_ms
            self.result.reason = self.driver.reason

    def _grant(self, sequence, route, now_ms):
        request = WorkRequest(
            request_id=str(sequence),
            route=route.name,
            customer="c1",
            tier_rank=0,
            idempotent=route.idempotent,
            deadline_ms=now_ms + 60_000,
            first_token_by_ms=now_ms + 60_000,
        )
        version = self.driver.policy.candidates(request, ("v1", "v2"), now_ms)[0]
        loads = self.in_flight[version]
        upstream = self._select_upstream(version, loads, sequence)
        self.driver.policy.on_grant(request, version, now_ms, f"{version}-{upstream}")
        drawn = self.scenario.answer(version, upstream, route, loads[upstream], now_ms)
        loads[upstream] += 1
        self._count_grant(version, request, drawn[3], now_ms)
        answer = (now_ms + drawn[2], sequence, request, version, upstream, drawn)
        heapq.heappush(self.pending_answers, answer)

    def _select_upstream(self, version, loads, sequence):
        """Return the least loaded upstream that is not excluded."""
        excluded = getattr(self.driver.policy, "excluded_upstreams", ())
        best = None
        for i in range(len(loads)):
            candidate = (i + sequence) % len(loads)
            if f"{version}-{candidate}" in excluded:
                continue
            if best is None or loads[candidate] < loads[best]:
                best = candidate
        return best

    def _count_grant(self, version, request, was_bad, now_ms):
        result = self.result
        result.requests += 1
        if version != "v2":
            return
        if was_bad and result.first_bad_grant_ms < 0:
            result.first_bad_grant_ms = now_ms
        result.new_requests += 1
        result.new_non_idempotent += not request.idempotent
        result.bad_requests += was_bad
        result.bad_non_idempotent += was_bad and not request.idempotent
        result.last_bad_grant_ms = now_ms
        if result.first_bad_grant_ms >= 0:
            result.requests_after_first_bad += 1
            result.non_idempotent_after_first_bad += not request.idempotent

    def _complete(self, answer):
        now_ms, _, request, version, upstream, drawn = answer
        is_failed, first_ms, total_ms, _ = drawn
        self.in_flight[version][upstream] -= 1
        outcome = Outcome(
            kind=OutcomeKind.FAILED if is_failed else OutcomeKind.SUCCESS,
            first_token_ms=first_ms,
            total_ms=total_ms,
            output_tokens=100 if first_ms >= 0 else 0,
        )
        self.driver.policy.on_outcome(
            request, version, outcome, now_ms, f"{version}-{upstream}"
        )


def run_batch(policy, kind, seeds):
    """Return the results of one policy for versions of one kind."""
    return [MeasuredMove(policy, kind, seed).execute() for seed in seeds]


def run_all(policies, kinds, count, first_seed, workers):
    """Return results by policy and kind, computed in parallel."""
    size = 25
    jobs = {}
    results = {(policy, kind): [] for policy in policies for kind in kinds}
    with concurrent.futures.ProcessPoolExecutor(workers) as pool:
        for policy, kind in results:
            # The results of the baselines differ so much that a sixth of the seeds
            # suffices.
            seed_count = count if policy == POLICIES[0] else max(1, count // 6)
            last = first_seed + seed_count
            for start in range(first_seed, last, size):
                seeds = range(start, min(start + size, last))
                jobs[pool.submit(run_batch, policy, kind, seeds)] = (policy, kind)
        for job in concurrent.futures.as_completed(jobs):
            results[jobs[job]] += job.result()
    return results


def quantiles(values):
    """Return the median and the 95th percentile as text."""
    if not values:
        return "-"
    ordered = sorted(values)
    high = ordered[min(len(ordered) - 1, int(0.95 * len(ordered)))]
    return f"{statistics.median(ordered):.0f} / {high:.0f}"


GOOD_HEAD = (
    "good versions",
    "policy",
    "versions",
    "moved in time",
    "taken back",
    "late, and told so",
    "end, s (median / 95th)",
)
BAD_HEAD = (
    "bad versions",
    "policy",
    "versions that showed it",
    "taken back",
    "held, and told late",
    "passed",
    "requests after it began",
    "non-idempotent after it began",
    "bad answers",
    "bad answers of one passed",
    "s from start to last grant",
)


def good_row(policy, kind, results):
    """Return a row of the table for good versions."""
    count = len(results)
    ended = [item.finished_ms / 1000 for item in results if item.finished_ms >= 0]
    rolled_back = sum(item.rolled_back_ms >= 0 for item in results)
    late = [item for item in results if _is_unfinished(item)]
    reported = sum(item.late_reported > 0 for item in late)
    return (
        kind.value,
        policy,
        count,
        _proportion(len(ended), count),
        _proportion(rolled_back, count),
        f"{reported} of {len(late)}",
        quantiles(ended),
    )


def bad_row(policy, kind, results):
    """Return a row of the table for bad versions."""
    shown = [item for item in results if item.first_bad_grant_ms >= 0]
    rolled_back = [item for item in shown if item.rolled_back_ms >= 0]
    accepted = [item for item in shown if _is_accepted(item)]
    return (
        kind.value,
        policy,
        len(shown),
        _proportion(len(rolled_back), len(shown)),
        sum(map(_is_unfinished, shown)),
        len(accepted),
        quantiles([item.requests_after_first_bad for item in shown]),
        quantiles([item.non_idempotent_after_first_bad for item in shown]),
        quantiles([item.bad_requests for item in shown]),
        quantiles([item.bad_requests for item in accepted]),
        quantiles([item.exposed_ms / 1000 for item in rolled_back]),
    )


def _is_unfinished(item):
    return item.finished_ms < 0 and item.rolled_back_ms < 0


def _is_accepted(item):
    return item.finished_ms >= 0 and item.rolled_back_ms < 0


def _proportion(part, whole):
    """Return a proportion in percent with its 95 % confidence interval (Wilson)."""
    count = max(1, whole)
    share = part / count
    z2 = _NORMAL_95**2
    middle = (share + z2 / (2 * count)) / (1 + z2 / count)
    root = math.sqrt(share * (1 - share) / count + z2 / (4 * count**2))
    spread = _NORMAL_95 * root / (1 + z2 / count)
    low, high = 100 * max(0, middle - spread), 100 * min(1, middle + spread)
    return f"{100 * share:.1f} % ({low:.1f} to {high:.1f})"


def main():
    """Run the measurement and print the tables."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", type=int, default=201)
    parser.add_argument("--first-seed", type=int, default=1)
    parser.add_argument("--workers", type=int, default=max(1, os.cpu_count() - 2))
    parser.add_argument("--policy", default="")
    parser.add_argument("--reasons", action="store_true")
    options = parser.parse_args()
    policies = [options.policy] if options.policy else POLICIES
    started = time.perf_counter()
    results_by_case = run_all(
        policies, tuple(VersionKind), options.seeds, options.first_seed, options.workers
    )
    print_tables(results_by_case, policies)
    print(f"{sum(map(len, results_by_case.values()))} moves", end=", ")
    print(f"{time.perf_counter() - started:.0f} s")
    if options.reasons:
        print_reasons(results_by_case)


def print_tables(results_by_case, policies):
    """Print the tables for good and for bad versions."""
    for head, kinds, row in (
        (GOOD_HEAD, GOOD_KINDS, good_row),
        (BAD_HEAD, BAD_KINDS, bad_row),
    ):
        _print_row(head)
        _print_row(["---"] * len(head))
        for kind in kinds:
            for policy in policies:
                _print_row(row(policy, kind, results_by_case[policy, kind]))
        print()


def _print_row(cells):
    print("| " + " | ".join(map(str, cells)) + " |")


def print_reasons(results_by_case):
    """Print the wrong results of the product's policy, one per line."""
    for (policy, kind), results in results_by_case.items():
        if policy != "hemlockhoist":
            continue
        for item in results:
            wrong = kind in GOOD_KINDS and item.rolled_back_ms >= 0
            late = kind in GOOD_KINDS and item.finished_ms < 0
            missed = kind in BAD_KINDS and item.rolled_back_ms < 0
            if wrong or late or missed:
                print(kind.value, item.deployment, item.reason or item)


if __name__ == "__main__":
    main()
