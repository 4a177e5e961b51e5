"""Simulation of one pool and the second attempts of one host, in virtual time."""

import collections
import enum
import heapq
import itertools
import random

import msgspec

from hemlockhoist.decisions.entry import HedgePolicy

ROUTE, POOL = "check", "halls"
TIMEOUT_MS = 4_000
USUAL_MS = 40


class Mode(enum.Enum):
    """What is done against slow responses."""

    NONE = "none"
    HEDGE = "hedge after the quantile"
    TWO_AT_ONCE = "two attempts at once"


class Result(msgspec.Struct):
    """What callers got, and what it cost.

    Parameters
    ==========
    durations_ms : list of float
        Times from arrival to response, sorted.
    hedge_times_ms : list of float
        When second attempts were sent.
    waits_caused : int
        Second attempts that took a slot while a request waited, or the last one.
    work_ms : float
        Time for which slots were held.
    """

    durations_ms: list[float]
    hedge_times_ms: list[float]
    waits_caused: int
    work_ms: float

    def quantile_ms(self, fraction):
        """Return a quantile of the durations, rounded."""
        index = min(len(self.durations_ms) - 1, int(fraction * len(self.durations_ms)))
        return round(self.durations_ms[index])


class _Call:
    """A request and its attempts in progress: number of upstream and start."""

    __slots__ = ("arrived_ms", "attempts", "first_ms", "is_done")

    def __init__(self, arrived_ms):
        self.arrived_ms = arrived_ms
        self.attempts = {}
        self.first_ms = None
        self.is_done = False


class Simulation:
    """Sends requests to upstreams with slots, least loaded first.

    Parameters
    ==========
    mode : Mode
    upstream_count, slot_count : int
    permille : int, optional
        Of the ``HedgePolicy``.
    slow_share : float, optional
        Share of responses that take ``slow_factor`` times longer, wherever they run.
    factor_at : callable, optional
        ``factor_at(upstream, now_ms)``: how much longer that upstream takes.
    """

    def __init__(
        self,
        mode,
        upstream_count=10,
        slot_count=4,
        permille=50,
        slow_share=0.0,
        slow_factor=20.0,
        factor_at=lambda upstream, now_ms: 1.0,
    ):
        self.policy = HedgePolicy(permille if mode is Mode.HEDGE else 0)
        self._mode = mode
        self._free = [slot_count] * upstream_count
        self._slow = (slow_share, slow_factor)
        self._factor_at = factor_at
        self._rng = random.Random(7)
        self._queue = collections.deque()
        self._events = []
        self._order = itertools.count()
        self._result = Result([], [], 0, 0.0)

    def run(self, rate_at, duration_ms):
        """Send ``rate_at(now_ms)`` requests per second, and return the ``Result``."""
        now_ms = 0.0
        while now_ms < duration_ms:
            now_ms += self._rng.expovariate(rate_at(now_ms) / 1_000)
            self._at(now_ms, self._arrive, _Call(now_ms))
        while self._events:
            now_ms, _, action, arguments = heapq.heappop(self._events)
            action(now_ms, *arguments)
        self._result.durations_ms.sort()
        return self._result

    def _at(self, at_ms, action, *arguments):
        heapq.heappush(self._events, (at_ms, next(self._order), action, arguments))

    def _arrive(self, now_ms, call):
        self.policy.count_request()
        self._queue.append(call)
        self._serve(now_ms)

    def _serve(self, now_ms):
        while self._queue and any(self._free):
            call = self._queue.popleft()
            call.first_ms = now_ms
            self._send(now_ms, call)
            if self._mode is Mode.TWO_AT_ONCE and self._has_other(call):
                self._hedge(now_ms, call)
            delay_ms = (
                self.policy.delay_ms(ROUTE, POOL, now_ms)
                if self._mode is Mode.HEDGE
                else None
            )
            if delay_ms is not None:
                self._at(now_ms + delay_ms, self._consider, call)

    def _send(self, now_ms, call):
        free = {n: left for n, left in enumerate(self._free) if n not in call.attempts}
        upstream = max(free, key=free.get)
        share, factor = self._slow
        took_ms = USUAL_MS * self._rng.lognormvariate(0, 0.3)
        took_ms *= factor if self._rng.random() < share else 1.0
        took_ms *= self._factor_at(upstream, now_ms)
        self._free[upstream] -= 1
        call.attempts[upstream] = now_ms
        self._at(now_ms + took_ms, self._finish, call, upstream)

    def _has_other(self, call):
        return any(left for n, left in enumerate(self._free) if n not in call.attempts)

    def _hedge(self, now_ms, call):
        self._result.waits_caused += bool(self._queue) or sum(self._free) <= 1
        self._result.hedge_times_ms.append(now_ms)
        self._send(now_ms, call)

    def _consider(self, now_ms, call):
        if call.is_done:
            return
        left_ms = call.arrived_ms + TIMEOUT_MS - now_ms
        if self.policy.acquire(ROUTE, POOL, left_ms, now_ms) is not None:
            return
        # The home's rule.
        if self._queue or sum(self._free) <= 1 or not self._has_other(call):
            self.policy.refund()
            self.policy.on_refused(POOL, now_ms)
            return
        self._hedge(now_ms, call)

    def _finish(self, now_ms, call, upstream):
        if call.is_done:
            return
        call.is_done = True
        first_ms = now_ms - call.first_ms
        self.policy.observe(ROUTE, POOL, first_ms, now_ms)
        self._result.durations_ms.append(now_ms - call.arrived_ms)
        for other, started_ms in call.attempts.items():
            self._free[other] += 1
            self._result.work_ms += now_ms - started_ms
        self._serve(now_ms)
