"""Assignment of a pool shard's free slots to waiting requests."""

from hemlockhoist.base import Property
from hemlockhoist.decisions.scheduling.grants import InFlightGrant
from hemlockhoist.decisions.work import Grant, Granted, new_grant_id

# A grant that is not used within this time is void. The entry host must dispatch at
# once or release it, so that no slot is held by a request whose caller disconnected.
GRANT_TTL_MS = 2_000
# Requests that the version policy holds back are skipped, up to this many in one pass
# over the queue. Then the pass ends, since a lower tier must not overtake requests of a
# higher one that have not been tried.
MAX_SKIPPED = 16
# Bound on the non-repeatable requests that are skipped without a choice of upstream, as
# the free ones take only repeatable requests. Each costs only a step of the queue.
MAX_NOT_REPEATABLE_SKIPPED = 128


class _AssignmentPass:
    """State of one pass over the waiting requests.

    Parameters
    ==========
    free : list of hemlockhoist.decisions.Upstream
        Those with a free slot.
    changed : str
        The only upstream for requests that were skipped in this round; empty for any.
    takes_only_repeatable : bool
        Whether the free slots are held for repeatable requests.
    now_ms : int

    Attributes
    ==========
    skipped : list of tuple
        Requests that got no slot, with their due times.
    not_repeatable_count : int
        Number of these that got none as they are not repeatable.
    """

    __slots__ = (
        "changed",
        "free",
        "not_repeatable_count",
        "now_ms",
        "skipped",
        "takes_only_repeatable",
    )

    def __init__(self, free, changed, takes_only_repeatable, now_ms):
        self.free = free
        self.changed = changed
        self.takes_only_repeatable = takes_only_repeatable
        self.now_ms = now_ms
        self.skipped = []
        self.not_repeatable_count = 0

    @property
    def ahead(self):
        """Number of skipped requests that wait for a better upstream."""
        return len(self.skipped) - self.not_repeatable_count

    @property
    def is_over(self):
        """Whether no further request is tried."""
        if not self.free or self.ahead >= MAX_SKIPPED:
            return True
        return self.not_repeatable_count >= MAX_NOT_REPEATABLE_SKIPPED


class SlotAssigner:
    """Assigns free slots tier by tier, and lets short requests overtake.

    At a home with some dozen upstreams, a burst keeps about twenty requests waiting
    for better upstreams than the free ones. Choosing an upstream for each of them at
    each arrival and each end of an answer took most of the home's processor time. So a
    request that found no slot is tried at all upstreams again only in the next round;
    until then, only at an upstream that changed.

    Parameters
    ==========
    pool : str
    incarnation : str
        Of this home; makes grant ids unique across restarts.
    queue : RequestQueue
    upstreams : ShardUpstreams
    grants : GrantTable
    overtaking_check : OvertakingCheck
    overtaking_budget : OvertakingBudget
    admission : Admission
    policy : VersionPolicy
    invariants : hemlockhoist.base.InvariantLog
    """

    __slots__ = (
        "_admission",
        "_grants",
        "_incarnation",
        "_invariants",
        "_overtaking_budget",
        "_overtaking_check",
        "_policy",
        "_pool",
        "_queue",
        "_round_number",
        "_sequence",
        "_upstreams",
    )

    def __init__(
        self,
        pool,
        incarnation,
        queue,
        upstreams,
        grants,
        overtaking_check,
        overtaking_budget,
        admission,
        policy,
        invariants,
    ):
        self._pool = pool
        self._incarnation = incarnation
        self._queue = queue
        self._upstreams = upstreams
        self._grants = grants
        self._overtaking_check = overtaking_check
        self._overtaking_budget = overtaking_budget
        self._admission = admission
        self._policy = policy
        self._invariants = invariants
        self._sequence = 0
        self._round_number = 0

    def begin_round(self):
        """Begin a round: slots may have been freed at any upstream."""
        self._round_number += 1

    def assign(self, now_ms, changed=""):
        """Assign the free slots to waiting requests.

        Parameters
        ==========
        now_ms : int
        changed : str, optional
            The upstream that changed; requests that found no slot in this round are
            tried at no other.

        Returns
        =======
        list of Granted
        """
        free = self._upstreams.free_upstreams(now_ms)
        decisions = self._grant_overtaking(free, changed, now_ms)
        takes_only_repeatable = self._takes_only_repeatable(free, now_ms)
        current = _AssignmentPass(free, changed, takes_only_repeatable, now_ms)
        for rank in self._queue.ranks:
            while not current.is_over:
                taken = self._queue.take(rank)
                if taken is None:
                    break
                granted = self._assign_one(taken[0], current)
                if granted is not None:
                    decisions.append(granted)
                    continue
                taken[0].skipped_round = self._round_number
                current.skipped.append(taken)
        for waiting, due_ms in current.skipped:
            self._queue.push(waiting, due_ms)
        return decisions

    def _assign_one(self, waiting, current):
        """Assign a free slot to a waiting request; return None if it gets none."""
        request, now_ms = waiting.request, current.now_ms
        if current.takes_only_repeatable and self._is_held_for_repeatable(
            request, now_ms
        ):
            current.not_repeatable_count += 1
            return None
        eligible = self._eligible(waiting, current.free, current.changed, now_ms)
        upstream = self._choose_upstream(request, eligible, current.ahead, now_ms)
        if upstream is None:
            return None
        self._check_tier_order(request)
        granted = self._grant(waiting, upstream, now_ms)
        if not self._upstreams.has_free_slot(upstream, now_ms):
            _discard(current.free, upstream)
            current.takes_only_repeatable = self._takes_only_repeatable(
                current.free, now_ms
            )
        return granted

    def _takes_only_repeatable(self, free, now_ms):
        return self._upstreams.damping.allow_only_repeatable(free, now_ms)

    def assign_hedge(self, waiting, reserved_slots, now_ms):
        """Grant a second attempt a slot that nothing else needs now, or return None.

        It gets neither the last free slot of the pool, nor one that is reserved for a
        client retry, nor a part of an upstream's advertised limit, and only an upstream
        that the request has not been sent to and that is not itself slow, suppressed or
        on trial.

        Parameters
        ==========
        waiting : QueuedRequest
        reserved_slots : int
            Slots that client retries need before the attempt is expected to end.
        now_ms : int

        Returns
        =======
        Granted or None
        """
        upstreams, request = self._upstreams, waiting.request
        if upstreams.recovery.is_active(now_ms):
            return None
        free = [
            item
            for item in upstreams.free_upstreams(now_ms)
            if not upstreams.damping.is_restricted(item.upstream_id, now_ms)
        ]
        if not upstreams.has_spare_slot(free, reserved_slots, now_ms):
            return None
        free = [
            item
            for item in self._without_limit(free)
            if item.upstream_id not in request.avoid
            and upstreams.tracker.suits_hedge(item.upstream_id, now_ms)
        ]
        upstream = self._choose_upstream(request, free, 0, now_ms)
        if upstream is None:
            return None
        return self._grant(waiting, upstream, now_ms)

    def _is_held_for_repeatable(self, request, now_ms):
        """Return whether slots that are held for repeatable requests are not for it.

        They are for one that is not repeatable if all other upstreams have refused it.
        """
        if request.idempotent:
            return False
        return not self._upstreams.is_refused_elsewhere(request, now_ms)

    def _eligible(self, waiting, free, changed, now_ms):
        """Return the free upstreams at which a waiting request is to be tried."""
        free = self._upstreams.free_for(waiting.request, free, now_ms)
        if waiting.skipped_round != self._round_number:
            return free
        return [item for item in free if item.upstream_id == changed]

    def _grant_overtaking(self, free, changed, now_ms):
        """Assign slots to requests that may overtake waiting ones of higher tiers."""
        decisions = []
        for rank in self._queue.ranks:
            while free and self._queue.count_above(rank):
                first = self._queue.tier(rank).first()
                if first is None or not self._overtaking_check.may_overtake(
                    first.request, now_ms
                ):
                    break
                eligible = self._eligible(first, free, changed, now_ms)
                eligible = self._without_limit(eligible)
                if not eligible:
                    break
                waiting, due_ms = self._queue.take(rank)
                upstream = self._choose_upstream(waiting.request, eligible, 0, now_ms)
                if upstream is None:
                    waiting.skipped_round = self._round_number
                    self._queue.push(waiting, due_ms)
                    break
                self._overtaking_budget.charge(
                    self._upstreams.tracker.hold_ms(waiting.request)
                )
                decisions.append(self._grant(waiting, upstream, now_ms))
                if not self._upstreams.has_free_slot(upstream, now_ms):
                    _discard(free, upstream)
        return decisions

    def _without_limit(self, upstreams):
        """Return the upstreams that advertise no limit on their request rate.

        What is left of a limit is for the highest tier that waits: a request that
        overtakes others is short, but uses up as much of a limit as a long one.
        """
        is_limited = self._upstreams.tracker.is_limited
        return [item for item in upstreams if not is_limited(item.upstream_id)]

    def _choose_upstream(self, request, free, ahead, now_ms):
        if not free:
            return None
        backed_off = self._upstreams.back_offs.backed_off_from(
            request.entry_host, now_ms
        )
        if backed_off:
            free = [item for item in free if item.upstream_id not in backed_off]
        damping = self._upstreams.damping
        if damping.any_penalty:
            free = damping.allowed(request, free, now_ms, backed_off)
            backed_off = self._upstreams.backed_off_or_suppressed(
                request.entry_host, now_ms
            )
        versions = sorted({item.version for item in free})
        for version in self._policy.candidates(request, versions, now_ms):
            choices = [item for item in free if item.version == version]
            choices = _untried(request, _in_allowed_regions(request, choices))
            upstream = self._upstreams.tracker.choose(
                request, choices, self._grants.in_flight, now_ms, ahead, backed_off
            )
            if upstream is not None:
                return upstream
        return None

    def _grant(self, waiting, upstream, now_ms):
        request = waiting.request
        self._check_not_leaving(request, upstream)
        self._overtaking_budget.record_decision(request.tier_rank, False, now_ms)
        self._queue.tier(request.tier_rank).charge(waiting)
        self._admission.record_grant(request.tier_rank, waiting.cost_ms, now_ms)
        self._sequence += 1
        grant = Grant(
            grant_id=new_grant_id(self._incarnation, self._pool, self._sequence),
            request_id=request.request_id,
            upstream_id=upstream.upstream_id,
            address=upstream.address,
            version=upstream.version,
            expires_ms=now_ms + GRANT_TTL_MS,
            is_cold=self._upstreams.tracker.is_cold(upstream.upstream_id, now_ms),
            is_limited=self._has_advertised(upstream.upstream_id),
        )
        held = InFlightGrant(request, grant, now_ms, waiting.cost_ms)
        self._grants.add(held)
        self._upstreams.on_grant(held, now_ms)
        self._policy.on_grant(request, upstream.version, now_ms, upstream.upstream_id)
        return Granted(request=request, grant=grant)

    def _has_advertised(self, upstream_id):
        """Return whether an upstream's next answer is news if it advertises nothing."""
        tracker = self._upstreams.tracker
        return tracker.is_limited(upstream_id) or tracker.is_brittle(upstream_id)

    def _check_tier_order(self, request):
        self._invariants.check(
            Property.TIER_ORDER,
            self._queue.count_above(request.tier_rank) == 0,
            f"{request.request_id} granted in tier order while a higher tier waits",
        )

    def _check_not_leaving(self, request, upstream):
        self._invariants.check(
            Property.LEAVING_UPSTREAM_NO_WORK,
            not self._upstreams.table.is_leaving(upstream.upstream_id),
            f"{request.request_id} granted to leaving {upstream.upstream_id}",
        )


def _discard(free, upstream):
    """Remove an upstream from the free ones; a suppressed one may not be among them."""
    if upstream in free:
        free.remove(upstream)


def _in_allowed_regions(request, choices):
    """Return the choices in the regions to which a request is restricted.

    Without this, a request body could leave the regions in which its customer or the
    owner of its route allows it to be stored.
    """
    if not request.regions:
        return choices
    return [item for item in choices if request.allows_region(item.region)]


def _untried(request, choices):
    """Return the choices that have not failed the request, or all if all have."""
    if not request.avoid:
        return choices
    untried = [item for item in choices if item.upstream_id not in request.avoid]
    return untried or choices
