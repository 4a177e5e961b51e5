"""What a pool's scheduler asks of the tracks of its upstreams."""


class UpstreamTracker:
    """What a home knows of each upstream, and where it places a request by it.

    Upstreams that declare how many requests they work on at once have
    ``DeclaredSlotsTracker``; for others ``AdaptiveTracker`` finds their limits.

    Attributes
    ==========
    recovery_ms : int
        For how long a new home does not trust its counts.
    """

    __slots__ = ()
    recovery_ms = 0

    def set_listed(self, upstreams):
        """Begin tracks for new upstreams, and drop those of vanished ones."""
        raise NotImplementedError

    def get(self, upstream_id):
        """Return the track of a listed upstream, or None."""
        raise NotImplementedError

    def slots(self, upstream_id, now_ms):
        """Return how many requests an upstream may hold."""
        raise NotImplementedError

    def choose(self, request, choices, in_flight, now_ms, ahead=0):
        """Return the upstream for a request, or None where it should wait.

        Parameters
        ==========
        request : hemlockhoist.decisions.WorkRequest
        choices : sequence of hemlockhoist.decisions.Upstream
            With a free place.
        in_flight : callable
            Returns the count in flight of an upstream id.
        now_ms : int
        ahead : int, optional
            Requests before this one that wait for a better upstream.
        """
        raise NotImplementedError

    def hold_ms(self, request):
        """Return for how long a request holds a place, or None where not known."""
        raise NotImplementedError

    def sort_key_ms(self, arrived_ms, cost_ms, due_ms):
        """Return when a request's turn is, within its customer's."""
        raise NotImplementedError

    def on_grant(self, held, now_ms):
        """Count a grant."""
        raise NotImplementedError

    def on_first_token(self, held, first_token_ms, now_ms):
        """Learn from a first token that is told before the answer's end."""
        raise NotImplementedError

    def on_outcome(self, held, outcome, hold_ms, predicted_ms, now_ms):
        """Learn from a returned grant.

        Parameters
        ==========
        held : hemlockhoist.decisions.scheduling.grants.InFlightGrant
        outcome : hemlockhoist.decisions.Outcome
        hold_ms : int
            From grant to release.
        predicted_ms : float
            What the pool's estimate says for such a request now.
        now_ms : int
        """
        raise NotImplementedError

    def forget(self, held, now_ms):
        """Stop counting a grant whose outcome nobody will report."""
        raise NotImplementedError

    def begin_takeover(self, now_ms):
        """Take notice that this home decides from here on, perhaps after another."""

    def set_share(self, share):
        """Take the part of what is bounded over all hosts that is given out here."""

    def is_cold(self, upstream_id, now_ms):
        """Return whether an upstream warms up after its start."""
        return False

    def on_adopt(self, held, now_ms):
        """Count a grant of a former home."""

    def set_max_limit(self, max_limit):
        """Take a changed upper bound of the limits, where they are found."""

    def set_usable(self, upstreams, now_ms):
        """Take the upstreams that are not leaving."""

    def cached_elsewhere(self, request, upstream_id):
        """Return the most prompt tokens that another upstream probably has cached."""
        return 0

    def accepts_more(self, upstream_id, now_ms):
        """Return whether an upstream may be given another request, places aside."""
        return True

    def with_free_slot(self, upstreams, in_flight, now_ms):
        """Return those of some upstreams that may be given one more request.

        Parameters
        ==========
        upstreams : iterable of hemlockhoist.decisions.Upstream
        in_flight : callable
            Returns the count in flight of an upstream id.
        now_ms : int
        """
        return [
            item
            for item in upstreams
            if in_flight(item.upstream_id) < self.slots(item.upstream_id, now_ms)
            and self.accepts_more(item.upstream_id, now_ms)
        ]

    def count_slots(self, upstreams, now_ms):
        """Return the places of some upstreams together."""
        return sum(self.slots(item.upstream_id, now_ms) for item in upstreams)

    def on_overdue(self, upstream_id, overdue, ratio, now_ms):
        """Take notice of grants that are held far longer than predicted.

        Parameters
        ==========
        upstream_id : str
        overdue : int
            How many.
        ratio : float
            Median multiple of their predicted time.
        now_ms : int
        """

    def on_tick(self, now_ms):
        """Do what time alone brings about; to be called at each tick."""

    def drift(self):
        """Let what is not measured return to what is usual; once a second."""
