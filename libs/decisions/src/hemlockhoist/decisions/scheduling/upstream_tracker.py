"""The interface between a pool's scheduler and the tracker of its upstreams."""


class UpstreamTracker:
    """Records what a home knows of each upstream, and chooses one for a request.

    ``DeclaredSlotsTracker`` is for upstreams that declare how many requests they work
    on at once; for others ``AdaptiveTracker`` finds the limits.

    Attributes
    ==========
    recovery_ms : int
        How long a new home bounds its grants by load reports after taking over.
    """

    __slots__ = ()
    recovery_ms = 0

    def set_listed(self, upstreams, now_ms):
        """Start tracking new upstreams, and forget those that are no longer listed."""
        raise NotImplementedError

    def get(self, upstream_id):
        """Return what is tracked of a listed upstream, or None."""
        raise NotImplementedError

    def slots(self, upstream_id, now_ms):
        """Return how many requests an upstream may hold."""
        raise NotImplementedError

    def choose(self, request, choices, in_flight, now_ms, ahead=0, backed_off=()):
        """Return the upstream for a request, or None if it should wait.

        Parameters
        ==========
        request : hemlockhoist.decisions.WorkRequest
        choices : sequence of hemlockhoist.decisions.Upstream
            Those with a free slot.
        in_flight : callable
            Returns the number of grants in flight at an upstream id.
        now_ms : int
        ahead : int, optional
            Number of requests before this one that wait for a better upstream.
        backed_off : collection of str, optional
            Upstreams that want no requests from the request's entry host, or are
            suppressed.
        """
        raise NotImplementedError

    def evaluate(self, request, choices, in_flight, now_ms):
        """Return the ``PlacementCandidate`` of each choice, as ``choose`` compares them.

        Parameters as of ``choose``; the upstreams may also be full.
        """
        raise NotImplementedError

    def fitting(self, request, choices, now_ms):
        """Return those of the choices whose memory holds a request."""
        return choices

    def hold_ms(self, request):
        """Return how long a request is expected to hold a slot, or None if unknown."""
        raise NotImplementedError

    def sort_key_ms(self, arrived_ms, cost_ms, due_ms):
        """Return the key by which the requests of one customer are ordered.

        The request with the lowest key is served first.
        """
        raise NotImplementedError

    def on_grant(self, held, now_ms):
        """Record a grant."""
        raise NotImplementedError

    def on_first_token(self, held, first_token_ms, now_ms):
        """Record a first token that is reported before the answer ends."""
        raise NotImplementedError

    def on_outcome(self, held, outcome, hold_ms, predicted_ms, now_ms):
        """Record the outcome of a released grant.

        Parameters
        ==========
        held : hemlockhoist.decisions.scheduling.grants.InFlightGrant
        outcome : hemlockhoist.decisions.Outcome
        hold_ms : int
            From grant to release.
        predicted_ms : float
            Current prediction of the pool's estimate for such a request.
        now_ms : int
        """
        raise NotImplementedError

    def forget(self, held, now_ms):
        """Remove a grant whose outcome will not be reported."""
        raise NotImplementedError

    def begin_takeover(self, now_ms):
        """Begin as a new home, possibly as the successor of another one."""

    def set_share(self, share):
        """Set the share of the fleet-wide bounds that this home may use."""

    def is_cold(self, upstream_id, now_ms):
        """Return whether an upstream is still warming up after its start."""
        return False

    def observe_limit(self, upstream_id, requests_per_s, heard_ms, now_ms):
        """Record the limit that an upstream advertised; return whether it changed.

        Parameters
        ==========
        upstream_id : str
        requests_per_s : float
            From all hosts together; infinite if it no longer advertises a limit.
        heard_ms : int
            When an entry host heard it, on this home's clock.
        now_ms : int
        """
        return False

    @property
    def any_limited(self):
        """Whether any upstream advertises a limit on its request rate."""
        return False

    def is_limited(self, upstream_id):
        """Return whether an upstream advertises a limit on its request rate."""
        return False

    def observe_brittle(self, upstream_id, rejections_per_s, heard_ms, now_ms):
        """Record how many rejections an upstream bears; return whether it changed.

        Parameters
        ==========
        upstream_id : str
        rejections_per_s : float
            Infinite if it does not say that it is brittle.
        heard_ms : int
            When an entry host heard it, on this home's clock.
        now_ms : int
        """
        return False

    def observe_rejection(self, upstream_id, now_ms):
        """Record that an upstream turned a request away for want of room."""

    @property
    def any_brittle(self):
        """Whether any upstream advertises that it is brittle, or recently did."""
        return False

    def is_brittle(self, upstream_id):
        """Return whether an upstream advertises that it is brittle."""
        return False

    def observe_slowdown(self, upstream_id, percent, measured_ms, now_ms):
        """Record how slow an upstream says it is.

        Return whether it is the upstream's first report.

        Parameters
        ==========
        upstream_id : str
        percent : int
            Processing time in percent of the usual one.
        measured_ms : int
            When it was true, on this home's clock.
        now_ms : int
        """
        return False

    @property
    def slowed_count(self):
        """Number of upstreams that are slower or faster than usual, by their reports."""
        return 0

    def pool_slowdown(self, now_ms):
        """Return the pool's present processing time as a multiple of the usual one."""
        return 1.0

    def limit_wait_ms(self, upstream_id, now_ms):
        """Return when an advertised limit allows the next request, as time from now."""
        return 0

    def is_suspended(self, upstream_id, now_ms):
        """Return whether an upstream gets no request now, as others failed there."""
        return False

    def suits_hedge(self, upstream_id, now_ms):
        """Return whether a second attempt of a slow request may go to an upstream.

        Not if the upstream reports that it is slow now, or gets single requests to find
        out whether it is well.
        """
        return True

    def usual_first_ms(self, held, estimate):
        """Return the usual time until a listed upstream begins to answer a request.

        Of an answer that is no stream nothing arrives before the whole, so its usual
        time includes decoding.

        Parameters
        ==========
        held : hemlockhoist.decisions.scheduling.grants.InFlightGrant
        estimate : hemlockhoist.decisions.scheduling.estimates.ServiceEstimate
            For what trackers do not learn of each upstream.
        """
        raise NotImplementedError

    def on_reachable(self, upstream_id, now_ms):
        """Record that an upstream can be reached, though connections to it failed."""

    def on_turned_away(self, upstream_id, now_ms):
        """Record that an upstream turned a request away and asked its host for rest."""

    def on_adopt(self, held, now_ms):
        """Record a grant of a previous home."""

    def set_max_limit(self, max_limit):
        """Set the upper bound of adaptive limits."""

    def set_usable(self, upstreams, now_ms):
        """Set the upstreams that may be assigned work."""

    def cached_elsewhere(self, request, upstream_id):
        """Return how many prompt tokens are computed here though another holds them.

        Prompt tokens that the answer reports as cached are still to be subtracted, if
        answers report them; otherwise those that this upstream probably holds already
        are.
        """
        return 0

    def accepts_more(self, upstream_id, now_ms):
        """Return whether an upstream may take a request, apart from free slots."""
        return True

    def with_free_slot(self, upstreams, in_flight, now_ms):
        """Return those of the given upstreams that may be assigned one more request.

        Parameters
        ==========
        upstreams : iterable of hemlockhoist.decisions.Upstream
        in_flight : callable
            Returns the number of grants in flight at an upstream id.
        now_ms : int
        """
        return [
            item
            for item in upstreams
            if in_flight(item.upstream_id) < self.slots(item.upstream_id, now_ms)
            and self.accepts_more(item.upstream_id, now_ms)
        ]

    def count_slots(self, upstreams, now_ms):
        """Return the total number of slots of the given upstreams."""
        return sum(self.slots(item.upstream_id, now_ms) for item in upstreams)

    def on_overdue(self, upstream_id, grant_count, ratio, now_ms):
        """Evaluate for how long the grants in flight at an upstream have been held.

        Parameters
        ==========
        upstream_id : str
        grant_count : int
            Number of grants in flight at the upstream.
        ratio : float
            Median ratio of their holding time to the predicted time.
        now_ms : int
        """

    def on_tick(self, now_ms):
        """Update state that depends on time alone; called at each tick."""

    def drift(self):
        """Move speeds towards their means; called once a second."""
