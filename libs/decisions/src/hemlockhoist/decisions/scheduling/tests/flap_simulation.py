"""Simulates requests to upstreams of which some go down and come back by turns.

``python -m hemlockhoist.decisions.scheduling.tests.flap_simulation`` prints the figures
of docs/design/flap-damping.md.
"""

import collections
import heapq
import itertools
import math
import random
import statistics
import sys
from unittest import mock

from hemlockhoist.decisions import Granted, Outcome, OutcomeKind, Upstream
from hemlockhoist.decisions.scheduling import Experiments, PoolScheduler, reliability
from hemlockhoist.decisions.scheduling.tests import builders as b
from hemlockhoist.declarations import Pool, PoolKind

TICK_MS = 50
REPORT_MS = 10
MAX_ATTEMPTS = 3
FLAPS_FROM_MS, FLAPS_UNTIL_MS, END_MS = 4_000, 12_000, 32_000
PERIODS_MS = (800, 1_600)
FLAPPING_SHARE = 0.1
NON_REPEATABLE_SHARE = 0.25
HOLD_MS = 600


class FlapSimulation:
    """Runs one pool through a phase in which some of its upstreams flap.

    Parameters
    ==========
    count, slots : int
        Upstreams, and slots of each.
    load : float
        Requests as a fraction of what all upstreams can serve.
    max_suppressed_ms : int
    seed : int
    renames : bool
        Whether a flapping upstream comes back with another id.

    Attributes
    ==========
    counts : Counter
        Requests by end: ``served``, ``lost`` (sent, and not answered), ``refused``;
        ``broken`` attempts; ``idle_slot_ms`` of suppressed upstreams that were up while
        requests waited.
    used_again_ms : dict of str to int
        By address, how long after its last start an upstream was next used.
    """

    def __init__(self, count, slots, load, max_suppressed_ms, seed, renames=False):
        self._random = random.Random(seed)
        self._renames = renames
        pool = Pool(name="halls", kind=PoolKind.MODEL, stable_version="")
        experiments = Experiments()
        self.scheduler = PoolScheduler.from_config(
            pool,
            (),
            "i1",
            tracker=experiments.declared_slots_tracker(),
            experiments=experiments,
            max_suppressed_ms=max_suppressed_ms,
        )
        self.counts = collections.Counter()
        self.used_again_ms = {}
        self._slots = slots
        self._events, self._numbers = [], itertools.count()
        self._listed = {
            f"{number}:1": Upstream(
                upstream_id=f"u{number}",
                pool="halls",
                version="v1",
                address=f"{number}:1",
                failure_domain=f"d{number % 3}",
                slot_count=slots,
            )
            for number in range(count)
        }
        self._up = dict.fromkeys(self._listed, True)
        self._in_flight = {address: {} for address in self._listed}
        self._callers = {}
        self._flaps_until_ms = {}
        for address in list(self._listed)[: math.ceil(count * FLAPPING_SHARE)]:
            period_ms = self._random.randint(*PERIODS_MS)
            at_ms = FLAPS_FROM_MS + self._random.randrange(period_ms)
            while at_ms < FLAPS_UNTIL_MS:
                self._schedule(at_ms, self._go_down, address)
                self._flaps_until_ms[address] = at_ms + period_ms // 2
                self._schedule(at_ms + period_ms // 2, self._come_up, address)
                at_ms += period_ms
        per_ms = load * count * slots / HOLD_MS
        at_ms = 0.0
        while (at_ms := at_ms + self._random.expovariate(per_ms)) < END_MS:
            self._schedule(at_ms, self._arrive)

    def run(self):
        """Run until the end; return the simulation."""
        self._list(0)
        for at_ms in range(0, END_MS, TICK_MS):
            self._schedule(at_ms, self._tick)
        while self._events and self._events[0][0] <= END_MS:
            now_ms, _, callback, arguments = heapq.heappop(self._events)
            callback(now_ms, *arguments)
        return self

    def _schedule(self, at_ms, callback, *arguments):
        entry = (int(at_ms), next(self._numbers), callback, arguments)
        heapq.heappush(self._events, entry)

    def _list(self, now_ms):
        listed = list(self._listed.values())
        self._handle(self.scheduler.set_upstreams(listed, now_ms), now_ms)

    def _tick(self, now_ms):
        self._handle(self.scheduler.tick(now_ms), now_ms)
        if self.scheduler.queued:
            ids = self.scheduler.suppressed_upstreams(now_ms)
            for address, item in self._listed.items():
                if item.upstream_id in ids and self._up[address]:
                    free = self._slots - len(self._in_flight[address])
                    self.counts["idle_slot_ms"] += TICK_MS * free

    def _go_down(self, now_ms, address):
        self._up[address] = False
        for grant_id in list(self._in_flight[address]):
            self._schedule(now_ms + REPORT_MS, self._end, address, grant_id, True)

    def _come_up(self, now_ms, address):
        self._up[address] = True
        if self._renames:
            item = self._listed.pop(address)
            self._list(now_ms)
            name = f"{item.upstream_id}x"
            fields = {
                "upstream_id": name,
                "address": address,
                "started_unix_ms": now_ms,
            }
            values = {f: getattr(item, f) for f in item.__struct_fields__} | fields
            self._listed[address] = Upstream(**values)
            self._list(now_ms)

    def _arrive(self, now_ms):
        is_repeatable = self._random.random() >= NON_REPEATABLE_SHARE
        hold_ms = self._random.uniform(0.3, 1.7) * HOLD_MS
        self._submit(now_ms, is_repeatable, hold_ms, 1, now_ms + 10_000, ())

    def _submit(self, now_ms, is_repeatable, hold_ms, attempt, deadline_ms, avoid):
        request = b.request(
            now_ms=now_ms,
            idempotent=is_repeatable,
            deadline_ms=deadline_ms,
            first_token_by_ms=now_ms + 1_000,
            avoid=avoid,
            arrival_number=attempt,
            entry_host=f"h{self._random.randrange(30)}",
        )
        self._callers[request.request_id] = (hold_ms, attempt)
        self._handle(self.scheduler.submit(request, now_ms), now_ms)

    def _handle(self, decisions, now_ms):
        for decision in decisions:
            request = decision.request
            if not isinstance(decision, Granted):
                self.counts["refused"] += 1
                continue
            grant, hold_ms = decision.grant, self._callers[request.request_id][0]
            address = grant.address
            after_ms = now_ms - self._flaps_until_ms.get(address, END_MS)
            if after_ms > 0:
                self.used_again_ms.setdefault(address, after_ms)
            self._in_flight[address][grant.grant_id] = (request, now_ms)
            if self._up[address]:
                end = (address, grant.grant_id, False)
                self._schedule(now_ms + hold_ms, self._end, *end)
            else:
                self._schedule(now_ms + 3, self._fail, address, grant.grant_id)

    def _fail(self, now_ms, address, grant_id):
        found = self._in_flight[address].pop(grant_id, None)
        if found is not None:
            self.counts["unsent"] += 1
            self._release(grant_id, OutcomeKind.CONNECT_FAILED, found[0], now_ms)

    def _end(self, now_ms, address, grant_id, is_broken):
        found = self._in_flight[address].pop(grant_id, None)
        if found is None:
            return
        request, sent_ms = found
        if not is_broken:
            self.counts["served"] += 1
            kind = OutcomeKind.SUCCESS
            outcome = Outcome(kind=kind, first_token_ms=50, total_ms=now_ms - sent_ms)
            found = self.scheduler.release(grant_id, outcome, now_ms)
            self._handle(found, now_ms)
            return
        self.counts["broken"] += 1
        self._release(grant_id, OutcomeKind.BROKE_OFF, request, now_ms)

    def _release(self, grant_id, kind, request, now_ms):
        outcome = Outcome(kind=kind, is_crash_suspect=kind is OutcomeKind.BROKE_OFF)
        upstream_id = self.scheduler.in_flight_grant(grant_id).grant.upstream_id
        self._handle(self.scheduler.release(grant_id, outcome, now_ms), now_ms)
        hold_ms, attempt = self._callers[request.request_id]
        is_sent = kind is OutcomeKind.BROKE_OFF
        if (is_sent and not request.idempotent) or attempt >= MAX_ATTEMPTS:
            self.counts["lost"] += 1
            return
        values = (request.idempotent, hold_ms, attempt + 1, request.deadline_ms)
        self._submit(now_ms, *values, (*request.avoid, upstream_id))


def main(seed_count=5):
    """Print a table of the ways to treat flapping upstreams."""
    cases = [
        (count, load, way, renames)
        for count, load in ((45, 0.6), (45, 0.95), (3, 0.6), (3, 0.95))
        for way in ("today", "damping", "longer breaker")
        for renames in (False, True)
    ]
    for count, load, way, renames in cases:
        is_damped, runs = way == "damping", []
        longer = (5_000, 20_000) if way == "longer breaker" else (250, 2_000)
        with (
            mock.patch.object(reliability, "INITIAL_BACKOFF_MS", longer[0]),
            mock.patch.object(reliability, "MAX_BACKOFF_MS", longer[1]),
        ):
            for seed in range(seed_count):
                values = (count, 4, load, 30_000 if is_damped else 0, seed)
                runs.append(FlapSimulation(*values, renames).run())
        total = sum((run.counts for run in runs), collections.Counter())
        again = [ms for run in runs for ms in run.used_again_ms.values()]
        text = " ".join(f"{key}={total[key] / seed_count:.1f}" for key in KEYS)
        text += f" used_again_ms={statistics.mean(again or [math.nan]):.0f}"
        ids = "new ids" if renames else "same ids"
        print(f"{count} upstreams, load {load}, {ids}, {way}: {text}")  # noqa: T201


KEYS = ("served", "lost", "broken", "unsent", "refused", "idle_slot_ms")

if __name__ == "__main__":
    main(*map(int, sys.argv[1:]))
