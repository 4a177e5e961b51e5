"""What a pool's home would decide on a request now, without any effect."""

import enum
import math

from hemlockhoist.decisions.scheduling.scheduler import PoolScheduler
from hemlockhoist.decisions.scheduling.state_copy import StateCopy
from hemlockhoist.decisions.work import Granted, Rejected, UpstreamState
from hemlockhoist.messages import CandidateReport, PlacementReport

# Upstreams that a report lists. Those of the largest pools would not fit on a screen,
# and a report of this many takes 15 KB between hosts.
MAX_CANDIDATES = 200
# Bound on reported times: a figure of a pool without usable slots may be infinite.
MAX_REPORTED_MS = 10**9


class Placement(enum.Enum):
    """What happens to a request when it arrives."""

    GRANTED = "granted"
    QUEUED = "queued"
    REFUSED = "refused"


class Exclusion(enum.Enum):
    """Why a request is not sent to an upstream now."""

    EVACUATED = "evacuated"
    DRAINING = "draining"
    OTHER_REGION = "in another region"
    # A new home does not know yet how many requests the upstream holds.
    UNKNOWN_LOAD = "load unknown after takeover"
    EJECTED = "ejected"
    FULL = "full"
    COLD = "cold"
    RATE_LIMIT = "rate limit"
    BRITTLE = "brittle"
    # An engine computes prompts in order of arrival.
    PROMPTS_PENDING = "prompts pending"
    SUPPRESSED = "suppressed"
    # The upstream wants no requests from the entry host for a while.
    BACKED_OFF = "backed off"
    # It is suppressed, or on trial after that, and takes only certain requests.
    ON_TRIAL = "on trial"
    ENGINE_MEMORY = "engine memory"
    OTHER_VERSION = "another version"


class PlacementDryRun(PoolScheduler):
    """A copy of a pool's scheduler, which decides on one request without any effect.

    It decides with the scheduler's own code on its state, and leaves the scheduler, its
    queue, what it has learned and the counts of its checks as they are. Load: operators
    ask to which upstreams requests would be assigned while a home is loaded. Copying costs some time for each
    upstream and each waiting request, so the copied objects are bounded by ``StateCopy``,
    and queries by ``QueryLimiter``.
    """

    __slots__ = ()

    @classmethod
    def from_scheduler(cls, scheduler, state_copy=None):
        """Return a copy of a ``PoolScheduler``.

        Parameters
        ==========
        scheduler : PoolScheduler
        state_copy : StateCopy, optional
            With what is copied already, which counts towards its bound.

        Raises
        ======
        StateTooLarge
        """
        return (state_copy or StateCopy()).into(cls, scheduler)

    def run(self, request, now_ms):
        """Return the ``PlacementReport`` of a request.

        Changes this copy, so call it once per copy.

        Parameters
        ==========
        request : hemlockhoist.decisions.WorkRequest
            With an id that no other request has.
        now_ms : int
        """
        # Reading applies the same time-dependent updates as ``submit``; they are
        # idempotent for equal ``now_ms``.
        self._update_slowdown(now_ms)
        candidates = self._candidates(self._experiments.mask(request), now_ms)
        wait_ms = self._forecast.wait_ms(request, now_ms)
        waiting_count = self._waiting_count(request.tier_rank)
        decisions = self.submit(request, now_ms)
        own = [d for d in decisions if d.request.request_id == request.request_id]
        decision = own[0] if own else None
        chosen = decision.grant if isinstance(decision, Granted) else None
        candidates.sort(key=lambda item: _sort_key(item, chosen))
        values = {
            "candidates": tuple(candidates[:MAX_CANDIDATES]),
            "omitted_count": max(0, len(candidates) - MAX_CANDIDATES),
        }
        if chosen is not None:
            return PlacementReport(
                outcome=Placement.GRANTED.value,
                upstream_id=chosen.upstream_id,
                version=chosen.version,
                **values,
            )
        values["wait_ms"] = _reported_ms(wait_ms)
        if isinstance(decision, Rejected):
            return PlacementReport(
                outcome=Placement.REFUSED.value,
                code=int(decision.code),
                retry_after_ms=decision.retry_after_ms,
                ahead_count=waiting_count,
                **values,
            )
        return PlacementReport(
            outcome=Placement.QUEUED.value,
            ahead_count=self._position(request),
            **values,
        )

    def _waiting_count(self, rank):
        """Return the number of waiting requests of a tier and those above."""
        return self._queue.count_above(rank) + self._queue.tier(rank).size

    def _position(self, request):
        """Return how many waiting requests are served before a queued one.

        The queue is emptied up to it, in the order and with the charges of grants.
        """
        count = 0
        for rank in list(self._queue.ranks):
            while (taken := self._queue.take(rank)) is not None:
                waiting = taken[0]
                if waiting.request.request_id == request.request_id:
                    return count
                self._queue.tier(rank).charge(waiting)
                count += 1
        return count

    def _candidates(self, request, now_ms):
        """Return the ``CandidateReport`` of each listed upstream."""
        upstreams = self._upstreams
        evaluated = {
            item.upstream.upstream_id: item
            for item in upstreams.tracker.evaluate(
                request, upstreams.table.usable(), self._grants.in_flight, now_ms
            )
        }
        exclusions = self._exclusions(request, now_ms)
        reports = []
        for item in upstreams.table:
            candidate = evaluated.get(item.upstream_id)
            exclusion = exclusions.get(item.upstream_id)
            reports.append(
                CandidateReport(
                    upstream_id=item.upstream_id,
                    version=item.version,
                    failure_domain=item.failure_domain,
                    region=item.region,
                    first_token_ms=candidate and _reported_ms(candidate.first_ms),
                    cost_ms=candidate and _reported_ms(candidate.cost_ms),
                    exclusion=exclusion.value if exclusion else "",
                )
            )
        return reports

    def _exclusions(self, request, now_ms):
        """Return why each upstream is excluded that is, by id.

        Each step keeps those to which the choice of the slot assigner is restricted by
        the same step.
        """
        upstreams = self._upstreams
        found = {}
        listed = upstreams.free_upstreams(now_ms)
        # May add a suppressed one, as the only one, if all others refuse the request.
        usable = upstreams.free_for(request, listed, now_ms) if listed else []
        free = {item.upstream_id: item for item in [*listed, *usable]}
        for item in upstreams.table:
            if item.upstream_id not in free:
                found[item.upstream_id] = self._reason_not_free(item, now_ms)
            elif request.regions and item.region not in request.regions:
                found[item.upstream_id] = Exclusion.OTHER_REGION

        def keep(kept, exclusion):
            kept_ids = {item.upstream_id for item in kept}
            for upstream_id in free.keys() - kept_ids:
                found.setdefault(upstream_id, exclusion)
                del free[upstream_id]

        keep(usable, Exclusion.BACKED_OFF)
        backed_off = upstreams.back_offs.backed_off_from(request.entry_host, now_ms)
        open_items = [i for i in free.values() if i.upstream_id not in backed_off]
        keep(open_items, Exclusion.BACKED_OFF)
        damping = upstreams.damping
        if damping.any_penalty:
            allowed = damping.allowed(request, list(free.values()), now_ms, backed_off)
            keep(allowed, Exclusion.ON_TRIAL)
        versions = sorted({item.version for item in free.values()})
        versions = self._policy.candidates(request, versions, now_ms)
        same = [item for item in free.values() if item.version in versions]
        keep(same, Exclusion.OTHER_VERSION)
        free_list = list(free.values())
        fitting = upstreams.tracker.fitting(request, free_list, now_ms)
        keep(fitting, Exclusion.ENGINE_MEMORY)
        return found

    def _reason_not_free(self, item, now_ms):
        """Return why an upstream may not be assigned one more request."""
        upstreams, upstream_id = self._upstreams, item.upstream_id
        if item.state is UpstreamState.EVACUATED:
            return Exclusion.EVACUATED
        if upstreams.table.is_leaving(upstream_id):
            return Exclusion.DRAINING
        tracker = upstreams.tracker
        held = self._grants.in_flight(upstream_id)
        if upstreams.recovery.is_active(now_ms):
            report = upstreams.table.report(upstream_id)
            held = upstreams.recovery.assumed_in_flight(
                upstream_id, held, report, now_ms
            )
        if held is None:
            return Exclusion.UNKNOWN_LOAD
        if upstream_id in upstreams.damping.suppressed(now_ms):
            return Exclusion.SUPPRESSED
        slots = tracker.slots(upstream_id, now_ms)
        if tracker.is_suspended(upstream_id, now_ms) or not slots:
            return Exclusion.EJECTED
        if held >= slots:
            return Exclusion.FULL
        if tracker.limit_wait_ms(upstream_id, now_ms):
            return Exclusion.RATE_LIMIT
        if tracker.is_cold(upstream_id, now_ms):
            return Exclusion.COLD
        if tracker.is_brittle(upstream_id):
            return Exclusion.BRITTLE
        return Exclusion.PROMPTS_PENDING


def _sort_key(report, chosen):
    """Return the key that puts the chosen upstream first, and excluded ones last."""
    is_chosen = chosen is not None and report.upstream_id == chosen.upstream_id
    cost_ms = math.inf if report.cost_ms is None else report.cost_ms
    return (not is_chosen, bool(report.exclusion), cost_ms, report.upstream_id)


def _reported_ms(value_ms):
    return int(min(MAX_REPORTED_MS, max(-MAX_REPORTED_MS, value_ms)))
