"""Who is refused when places are short, and in which order."""

from hemlockhoist.base import Property, ResultCode
from hemlockhoist.decisions.work import Rejected


class Shedder:
    """Refuses requests for want of places: the lowest tier first, without exception.

    Made for saturation and for bursts of a high tier. When a tier has to refuse, all
    requests of lower tiers that wait are refused before it, and lower arrivals are
    refused while it still has waiting ones. They would wait behind that tier's whole
    queue anyway; kept, they could be served after a higher one was turned away.

    What may pass the refused tier, as ``OvertakingBudget`` says, does not wait behind it, and
    stays.

    Parameters
    ==========
    queue : RequestQueue
    admission : Admission
    turns : OutOfTurn
    returns : ReturnBook
    invariants : hemlockhoist.base.InvariantLog
    retry_after_ms : callable
        Works out from the queue when a request should come back.
    passing : callable
        ``passing(now_ms)`` returns what says of a request of a lower tier whether it may
        pass those of higher ones that wait.
    """

    __slots__ = (
        "_admission",
        "_invariants",
        "_passing",
        "_queue",
        "_retry_after_ms",
        "_returns",
        "_turns",
    )

    def __init__(
        self, queue, admission, turns, returns, invariants, retry_after_ms, passing
    ):
        self._returns = returns
        self._turns = turns
        self._passing = passing
        self._queue = queue
        self._admission = admission
        self._invariants = invariants
        self._retry_after_ms = retry_after_ms

    def reject(self, request, code, now_ms):
        """Return the refusal of a request that doesn't wait."""
        retry_after_ms = self._retry_after_ms(request, now_ms)
        self._returns.record_refusal(request, retry_after_ms, now_ms)
        return Rejected(request=request, code=code, retry_after_ms=retry_after_ms)

    def shed(self, request, code, now_ms):
        """Return the refusal of a request for want of places, lower tiers' first."""
        refusal = self._refuse(request, code, now_ms)
        decisions = []
        may_overtake = self._passing(now_ms)
        for waiting in self._queue.waiting_below(request.tier_rank):
            if not may_overtake(waiting.request):
                decisions.append(self._displace(waiting, now_ms))
                # Its tier is refused more often now: the next may be let stay.
                may_overtake = self._passing(now_ms)
        self._check_order(request, now_ms)
        return [*decisions, refusal]

    def make_room(self, request, now_ms):
        """Return the refusals that a full tier queue needs, perhaps of ``request``.

        A lower tier's place is taken first. Within the tier the last request of the
        customer that is furthest over its share gives way, so that one customer's
        burst does not fill the queue against the others.
        """
        rank = request.tier_rank
        tier = self._queue.tier(rank)
        if tier.size < self._admission.max_queued(rank):
            return []
        if self._queue.count_below(rank):
            return [self._displace(self._queue.first_to_shed(), now_ms)]
        victim = tier.displacement_candidate()
        code = ResultCode.OVERLOADED
        if victim is None or not tier.is_displaced_by(victim, request):
            return self.shed(request, code, now_ms)
        self._queue.remove(victim.request.request_id)
        return self.shed(victim.request, code, now_ms)

    def _displace(self, waiting, now_ms):
        self._queue.remove(waiting.request.request_id)
        return self._refuse(waiting.request, ResultCode.DISPLACED, now_ms)

    def _refuse(self, request, code, now_ms):
        self._admission.record_shed(request.tier_rank)
        self._turns.record_decision(request.tier_rank, True, now_ms)
        return self.reject(request, code, now_ms)

    def _check_order(self, request, now_ms):
        may_overtake = self._passing(now_ms)
        self._invariants.check(
            Property.TIER_ORDER,
            all(
                may_overtake(waiting.request)
                for waiting in self._queue.waiting_below(request.tier_rank)
            ),
            f"{request.request_id} refused while a lower tier waits behind it",
        )
