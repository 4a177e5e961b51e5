"""Baseline policy: FIFO queue, upstream with the fewest requests in flight."""

from hemlockhoist.base import ResultCode
from hemlockhoist.decisions.policy import VersionPolicy
from hemlockhoist.decisions.work import Grant, Granted, Rejected, UpstreamState

GRANT_TTL_MS = 2_000
RETRY_AFTER_MS = 1_000
MAX_QUEUED = 1_000


class FifoPolicy:
    """Grants requests in the order of arrival, and refuses them at their deadline.

    All methods take the time of the home's clock and return the resulting decisions,
    which the caller sends. No method blocks.
    """

    __slots__ = (
        "_grants",
        "_in_flight",
        "_incarnation",
        "_leaving",
        "_pool",
        "_queue",
        "_sequence",
        "_upstreams",
        "_version_policy",
    )

    def __init__(self, pool, incarnation, policy):
        self._pool = pool
        self._incarnation = incarnation
        self._version_policy = policy
        self._queue = []
        self._grants = {}
        self._in_flight = {}
        self._upstreams = {}
        self._leaving = set()
        self._sequence = 0

    @classmethod
    def from_config(cls, pool, tiers, incarnation="first", policy=None):
        """Return a policy that has no upstreams yet.

        Parameters
        ==========
        pool : hemlockhoist.declarations.Pool
        tiers : sequence of hemlockhoist.declarations.Tier
        incarnation : str
            Incarnation of this home; makes grant ids unique across restarts.
        policy : VersionPolicy, optional
        """
        return cls(pool, incarnation, policy or VersionPolicy())

    def submit(self, request, now_ms):
        """Queue a request; return the decisions on it and on others."""
        self._queue.append(request)
        return self._process_queue(now_ms)

    def cancel(self, request_id, now_ms):
        """Remove the queued request of a caller that disconnected."""
        self._queue = [r for r in self._queue if r.request_id != request_id]
        return []

    def release(self, grant_id, outcome, now_ms):
        """Release a grant with its outcome; return the decisions on queued requests."""
        entry = self._grants.pop(grant_id, None)
        if entry is None:
            return []
        request, grant = entry
        self._in_flight[grant.upstream_id] -= 1
        self._version_policy.on_outcome(request, grant.version, outcome, now_ms)
        return self._process_queue(now_ms)

    def adopt(self, request, grant, now_ms):
        """Count a grant of an earlier home that an entry host still holds."""
        self._grants[grant.grant_id] = (request, grant)
        count = self._in_flight.get(grant.upstream_id, 0)
        self._in_flight[grant.upstream_id] = count + 1
        return []

    def set_upstreams(self, upstreams, now_ms):
        """Replace the list of upstreams."""
        self._upstreams = {item.upstream_id: item for item in upstreams}
        return self._process_queue(now_ms)

    def observe_load(self, report, now_ms):
        """Process the load report of an upstream."""
        if report.state is UpstreamState.LEAVING:
            self._leaving.add(report.upstream_id)
        return self._process_queue(now_ms)

    def tick(self, now_ms):
        """Refuse requests past their deadline; return all decisions due."""
        return self._process_queue(now_ms)

    def _process_queue(self, now_ms):
        decisions = []
        waiting = []
        free = [item for item in self._upstreams.values() if self._has_free_slot(item)]
        for request in self._queue:
            if free:
                upstream = self._choose_upstream(request, free, now_ms)
                decisions.append(self._grant(request, upstream, now_ms))
                if not self._has_free_slot(upstream):
                    free.remove(upstream)
            elif now_ms >= request.deadline_ms:
                code = ResultCode.DEADLINE_PASSED
                decisions.append(_reject(request, code))
            elif len(waiting) >= MAX_QUEUED:
                decisions.append(_reject(request, ResultCode.OVERLOADED))
            else:
                waiting.append(request)
        self._queue = waiting
        return decisions

    def _choose_upstream(self, request, free, now_ms):
        versions = sorted({item.version for item in free})
        for version in self._version_policy.candidates(request, versions, now_ms):
            matching = [item for item in free if item.version == version]
            if matching:
                return min(matching, key=self._load)
        raise AssertionError("the version policy gave no version of a free upstream")

    def _has_free_slot(self, upstream):
        if upstream.state is UpstreamState.LEAVING:
            return False
        if upstream.upstream_id in self._leaving:
            return False
        return self._load(upstream) < self._pool.max_in_flight_per_upstream

    def _load(self, upstream):
        return self._in_flight.get(upstream.upstream_id, 0)

    def _grant(self, request, upstream, now_ms):
        self._sequence += 1
        grant = Grant(
            grant_id=f"{self._incarnation}:{self._pool.name}:{self._sequence}",
            request_id=request.request_id,
            upstream_id=upstream.upstream_id,
            address=upstream.address,
            version=upstream.version,
            expires_ms=now_ms + GRANT_TTL_MS,
        )
        self._grants[grant.grant_id] = (request, grant)
        self._in_flight[upstream.upstream_id] = self._load(upstream) + 1
        self._version_policy.on_grant(request, upstream.version, now_ms)
        return Granted(request=request, grant=grant)


def _reject(request, code):
    return Rejected(request=request, code=code, retry_after_ms=RETRY_AFTER_MS)
