"""Baseline policies with the interface of the scheduler."""

import itertools
import random

from hemlockhoist.base import ResultCode
from hemlockhoist.decisions import Grant, Granted, Rejected

_RETRY_AFTER_MS = 1_000
_MAX_QUEUED = 1_000


class _ImmediatePolicy:
    """Base of policies that dispatch every request at once, so that engines queue."""

    def __init__(self, pool, tiers):
        self._ids = itertools.count()
        self._upstreams = []
        self._in_flight = {}
        self._grants = {}
        self._pool = pool

    @classmethod
    def from_config(cls, pool, tiers):
        """Return a policy that has no upstreams yet."""
        return cls(pool, tiers)

    def set_upstreams(self, upstreams, now_ms):
        """Replace the list of upstreams."""
        self._upstreams = list(upstreams)
        return []

    def observe_load(self, report, now_ms):
        """Ignore the load report."""
        return []

    def tick(self, now_ms):
        """Do nothing."""
        return []

    def submit(self, request, now_ms):
        """Grant the request at once."""
        if not self._upstreams:
            return [_reject(request, ResultCode.NO_UPSTREAM)]
        return [self._grant(request, self._choose(), now_ms)]

    def release(self, grant_id, outcome, now_ms):
        """Remove a grant from the in-flight count of its upstream."""
        upstream_id = self._grants.pop(grant_id, None)
        if upstream_id is not None:
            self._in_flight[upstream_id] -= 1
        return []

    def _choose(self):
        raise NotImplementedError

    def _load(self, upstream):
        return self._in_flight.get(upstream.upstream_id, 0)

    def _grant(self, request, upstream, now_ms):
        grant = Grant(
            grant_id=str(next(self._ids)),
            request_id=request.request_id,
            upstream_id=upstream.upstream_id,
            address=upstream.address,
            version=upstream.version,
            expires_ms=now_ms + 2_000,
        )
        self._grants[grant.grant_id] = upstream.upstream_id
        self._in_flight[upstream.upstream_id] = self._load(upstream) + 1
        return Granted(request=request, grant=grant)


class LeastConnections(_ImmediatePolicy):
    """Picks the upstream with the fewest requests in flight from this host."""

    def _choose(self):
        return min(self._upstreams, key=self._load)


class PowerOfTwoChoices(_ImmediatePolicy):
    """Picks the less loaded of two random upstreams, by their load reports."""

    def __init__(self, pool, tiers):
        super().__init__(pool, tiers)
        self._random = random.Random(1)
        self._reports = {}

    def observe_load(self, report, now_ms):
        """Record a load report."""
        self._reports[report.upstream_id] = report.in_flight + report.queued
        return []

    def _choose(self):
        count = min(2, len(self._upstreams))
        pair = self._random.sample(self._upstreams, count)
        return min(pair, key=lambda item: self._reports.get(item.upstream_id, 0))


class FifoRoundRobin(_ImmediatePolicy):
    """FIFO queue, and upstreams in rotation up to a fixed concurrency limit."""

    def __init__(self, pool, tiers):
        super().__init__(pool, tiers)
        self._queue = []
        self._last_index = 0

    def submit(self, request, now_ms):
        """Queue the request, or refuse it when the queue is full."""
        if len(self._queue) >= _MAX_QUEUED:
            return [_reject(request, ResultCode.OVERLOADED)]
        self._queue.append(request)
        return self._grant_queued(now_ms)

    def release(self, grant_id, outcome, now_ms):
        """Remove a grant from the count, and grant to the head of the queue."""
        super().release(grant_id, outcome, now_ms)
        return self._grant_queued(now_ms)

    def tick(self, now_ms):
        """Refuse queued requests that are past their deadline."""
        expired = [item for item in self._queue if item.deadline_ms <= now_ms]
        self._queue = [item for item in self._queue if item.deadline_ms > now_ms]
        refused = [_reject(item, ResultCode.DEADLINE_PASSED) for item in expired]
        return refused + self._grant_queued(now_ms)

    def _grant_queued(self, now_ms):
        decisions = []
        while self._queue:
            upstream = self._next_free()
            if upstream is None:
                break
            decisions.append(self._grant(self._queue.pop(0), upstream, now_ms))
        return decisions

    def _next_free(self):
        for _ in self._upstreams:
            self._last_index = (self._last_index + 1) % len(self._upstreams)
            upstream = self._upstreams[self._last_index]
            if self._load(upstream) < self._pool.max_in_flight_per_upstream:
                return upstream
        return None


def _reject(request, code):
    return Rejected(request=request, code=code, retry_after_ms=_RETRY_AFTER_MS)
