"""Which waiting requests may pass others of higher tiers, as the pool stands."""


class OvertakingCheck:
    """Says which requests may pass those of higher tiers that wait.

    Parameters
    ==========
    queue : RequestQueue
    fleet : Fleet
    turns : OutOfTurn
    """

    __slots__ = ("_fleet", "_queue", "_turns")

    def __init__(self, queue, fleet, turns):
        self._queue = queue
        self._fleet = fleet
        self._turns = turns

    def may_overtake(self, request, now_ms):
        """Return whether a request may pass those of higher tiers that wait."""
        return self.predicate_at(now_ms)(request)

    def predicate_at(self, now_ms):
        """Return what says at one moment which requests may pass.

        Load: a refusal in a burst looks at all waiting requests of lower tiers. What
        is the same for all of a tier is worked out once.

        Returns
        =======
        callable
            ``may_overtake(request)``.
        """
        tracker = self._fleet.tracker
        longest_ms = {}

        def may_overtake(request):
            rank = request.tier_rank
            if rank not in longest_ms:
                longest_ms[rank] = self._longest_ms(rank, now_ms)
            hold_ms = tracker.hold_ms(request)
            return hold_ms is not None and hold_ms <= longest_ms[rank]

        return may_overtake

    def _longest_ms(self, rank, now_ms):
        tracker = self._fleet.tracker
        above = [item.request for item in self._queue.first_above(rank)]
        passed = [(item.tier_rank, tracker.hold_ms(item) or 0.0) for item in above]
        slots = self._fleet.slots(now_ms)
        return self._turns.longest_ms(rank, passed, slots, now_ms)
