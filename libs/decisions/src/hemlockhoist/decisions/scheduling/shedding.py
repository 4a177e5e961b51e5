"""Load shedding: which requests are refused for lack of slots, and in which order."""

from hemlockhoist.base import Property, ResultCode
from hemlockhoist.decisions.work import Rejected


class Shedder:
    """Refuses requests for lack of slots: always the lowest tier first.

    Under saturation and in bursts of a high tier, when a tier has to refuse, all queued
    requests of lower tiers are refused before it, and arrivals of lower tiers are
    refused while it still has queued requests. They would wait behind the whole queue
    of that tier anyway; if kept, they could be served after a higher tier was refused.

    Requests that may overtake the refused tier, as ``OvertakingBudget`` decides, do not
    wait behind it and stay queued.

    Parameters
    ==========
    queue : RequestQueue
    admission : Admission
    overtaking_budget : OvertakingBudget
    forecast : Forecast
    invariants : hemlockhoist.base.InvariantLog
    predicate_at : callable
        ``predicate_at(now_ms)`` returns a predicate that says whether a request of a
        lower tier may overtake waiting requests of higher tiers.
    """

    __slots__ = (
        "_admission",
        "_forecast",
        "_invariants",
        "_overtaking_budget",
        "_predicate_at",
        "_queue",
    )

    def __init__(
        self,
        queue,
        admission,
        overtaking_budget,
        forecast,
        invariants,
        predicate_at,
    ):
        self._forecast = forecast
        self._overtaking_budget = overtaking_budget
        self._predicate_at = predicate_at
        self._queue = queue
        self._admission = admission
        self._invariants = invariants

    def reject(self, request, code, now_ms):
        """Return the refusal of a request that is not queued."""
        retry_after_ms, reserved_ms = self._forecast.refuse(request, code, now_ms)
        return Rejected(
            request=request,
            code=code,
            retry_after_ms=retry_after_ms,
            reserved_ms=reserved_ms,
        )

    def shed(self, request, code, now_ms):
        """Return the refusals of lower tiers, followed by that of the request."""
        refusal = self._refuse(request, code, now_ms)
        decisions = []
        may_overtake = self._predicate_at(now_ms)
        for waiting in self._queue.waiting_below(request.tier_rank):
            if not may_overtake(waiting.request):
                decisions.append(self._displace(waiting, now_ms))
                # The refusal raises its tier's refusal rate, so the next request of
                # that tier may be allowed to overtake and stay.
                may_overtake = self._predicate_at(now_ms)
        self._check_order(request, now_ms)
        return [*decisions, refusal]

    def make_room(self, request, now_ms):
        """Return the refusals that a full tier queue requires, possibly of ``request``.

        Requests of lower tiers are displaced first. Within the tier, the last request
        of the customer that is furthest above its share is displaced, so that one
        customer's burst does not fill the queue at the expense of the others.
        """
        rank = request.tier_rank
        tier = self._queue.tier(rank)
        if tier.size < self._admission.max_queued(rank):
            return []
        if self._queue.count_below(rank):
            return [self._displace(self._queue.first_to_shed(), now_ms)]
        displaced = tier.displacement_candidate()
        code = ResultCode.OVERLOADED
        if displaced is None or not tier.is_displaced_by(displaced, request):
            return self.shed(request, code, now_ms)
        self._queue.remove(displaced.request.request_id)
        return self.shed(displaced.request, code, now_ms)

    def _displace(self, waiting, now_ms):
        self._queue.remove(waiting.request.request_id)
        return self._refuse(waiting.request, ResultCode.DISPLACED, now_ms)

    def _refuse(self, request, code, now_ms):
        self._admission.record_shed(request.tier_rank)
        self._overtaking_budget.record_decision(request.tier_rank, True, now_ms)
        return self.reject(request, code, now_ms)

    def _check_order(self, request, now_ms):
        may_overtake = self._predicate_at(now_ms)
        self._invariants.check(
            Property.TIER_ORDER,
            all(
                may_overtake(waiting.request)
                for waiting in self._queue.waiting_below(request.tier_rank)
            ),
            f"{request.request_id} refused while a lower tier waits behind it",
        )
