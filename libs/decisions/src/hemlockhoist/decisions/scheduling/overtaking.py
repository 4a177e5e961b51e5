"""Decides which requests may overtake waiting requests of higher tiers."""


class OvertakingCheck:
    """Applies the overtaking budget to the current state of a pool shard.

    Parameters
    ==========
    queue : RequestQueue
    upstreams : ShardUpstreams
    overtaking_budget : OvertakingBudget
    """

    __slots__ = ("_overtaking_budget", "_queue", "_upstreams")

    def __init__(self, queue, upstreams, overtaking_budget):
        self._queue = queue
        self._upstreams = upstreams
        self._overtaking_budget = overtaking_budget

    def may_overtake(self, request, now_ms):
        """Return whether a request may overtake waiting requests of higher tiers."""
        return self.predicate_at(now_ms)(request)

    def predicate_at(self, now_ms):
        """Return a predicate that says which requests may overtake at one moment.

        A refusal in a burst checks all waiting requests of lower tiers, so values that
        are the same for all requests of a tier are computed once.

        Returns
        =======
        callable
            ``may_overtake(request)``.
        """
        tracker = self._upstreams.tracker
        max_hold_ms = {}

        def may_overtake(request):
            rank = request.tier_rank
            if rank not in max_hold_ms:
                max_hold_ms[rank] = self._max_hold_ms(rank, now_ms)
            hold_ms = tracker.hold_ms(request)
            return hold_ms is not None and hold_ms <= max_hold_ms[rank]

        return may_overtake

    def _max_hold_ms(self, rank, now_ms):
        if self._upstreams.all_limited():
            # The next request that a limit allows is for the highest tier, however
            # short those of lower tiers are.
            return -1.0
        tracker = self._upstreams.tracker
        above = [item.request for item in self._queue.first_above(rank)]
        overtaken = [(item.tier_rank, tracker.hold_ms(item) or 0.0) for item in above]
        slots = self._upstreams.slots(now_ms)
        return self._overtaking_budget.max_hold_ms(rank, overtaken, slots, now_ms)
