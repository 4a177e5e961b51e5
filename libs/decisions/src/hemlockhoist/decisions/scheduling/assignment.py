"""How the free places of a pool shard are given to waiting requests."""

from hemlockhoist.base import Property
from hemlockhoist.decisions.scheduling.grants import InFlightGrant
from hemlockhoist.decisions.work import Grant, Granted, new_grant_id

# A grant that is not used within this time is void: the entry host must dispatch at
# once or give it back, so that a place is never held by a request that went away.
GRANT_TTL_MS = 2_000
# Requests that the version policy holds back are passed over, up to this many in one
# go; then it ends, since a lower tier must not pass untried higher ones.
MAX_SKIPPED = 16


class SlotAssigner:
    """Gives free places, tier by tier, and to short requests out of turn.

    Load: at the home of some dozen upstreams, a burst keeps a score of requests waiting
    for better ones than are free. Asked for each of them at each arrival and each end
    of an answer, that took most of the home's processor time. So a request that found
    no place is offered others again in the next round; until then, only an upstream at
    which something changed.

    Parameters
    ==========
    pool : str
    incarnation : str
        Of this home; makes grant ids unique over restarts.
    queue : RequestQueue
    fleet : Fleet
    grants : GrantBook
    passing : Passing
    turns : OutOfTurn
    admission : Admission
    policy : VersionPolicy
    invariants : hemlockhoist.base.InvariantLog
    """

    __slots__ = (
        "_admission",
        "_fleet",
        "_grants",
        "_incarnation",
        "_invariants",
        "_passing",
        "_policy",
        "_pool",
        "_queue",
        "_round",
        "_sequence",
        "_turns",
    )

    def __init__(
        self,
        pool,
        incarnation,
        queue,
        fleet,
        grants,
        passing,
        turns,
        admission,
        policy,
        invariants,
    ):
        self._pool = pool
        self._incarnation = incarnation
        self._queue = queue
        self._fleet = fleet
        self._grants = grants
        self._passing = passing
        self._turns = turns
        self._admission = admission
        self._policy = policy
        self._invariants = invariants
        self._sequence = 0
        self._round = 0

    def begin_round(self):
        """Offer all upstreams again, as room may have been made anywhere."""
        self._round += 1

    def assign(self, now_ms, changed=""):
        """Give the free places to waiting requests.

        Parameters
        ==========
        now_ms : int
        changed : str, optional
            The upstream at which something changed; requests that found no place in
            this round are offered no other.

        Returns
        =======
        list of Granted
        """
        free = self._fleet.free_upstreams(now_ms)
        decisions = self._grant_out_of_turn(free, changed, now_ms)
        held_back = []
        for rank in self._queue.ranks:
            while free and len(held_back) < MAX_SKIPPED:
                taken = self._queue.take(rank)
                if taken is None:
                    break
                waiting = taken[0]
                offered = self._offered(waiting, free, changed)
                ahead = len(held_back)
                upstream = self._place(waiting.request, offered, ahead, now_ms)
                if upstream is None:
                    waiting.skipped_round = self._round
                    held_back.append(taken)
                    continue
                self._check_turn(waiting.request)
                decisions.append(self._grant(waiting, upstream, now_ms))
                if not self._fleet.has_free_slot(upstream, now_ms):
                    free.remove(upstream)
        for waiting, due_ms in held_back:
            self._queue.push(waiting, due_ms)
        return decisions

    def _offered(self, waiting, free, changed):
        """Return the free upstreams that a waiting request has not turned down."""
        if waiting.skipped_round != self._round:
            return free
        return [item for item in free if item.upstream_id == changed]

    def _grant_out_of_turn(self, free, changed, now_ms):
        """Give places to requests that may pass those of higher tiers that wait."""
        decisions = []
        for rank in self._queue.ranks:
            while free and self._queue.count_above(rank):
                first = self._queue.tier(rank).first()
                if first is None or not self._passing.may_overtake(
                    first.request, now_ms
                ):
                    break
                offered = self._offered(first, free, changed)
                if not offered:
                    break
                waiting, due_ms = self._queue.take(rank)
                upstream = self._place(waiting.request, offered, 0, now_ms)
                if upstream is None:
                    waiting.skipped_round = self._round
                    self._queue.push(waiting, due_ms)
                    break
                self._turns.charge(self._fleet.tracker.hold_ms(waiting.request))
                decisions.append(self._grant(waiting, upstream, now_ms))
                if not self._fleet.has_free_slot(upstream, now_ms):
                    free.remove(upstream)
        return decisions

    def _place(self, request, free, ahead, now_ms):
        if not free:
            return None
        versions = sorted({item.version for item in free})
        for version in self._policy.candidates(request, versions, now_ms):
            choices = [item for item in free if item.version == version]
            choices = _untried(request, _within(request, choices))
            upstream = self._fleet.tracker.choose(
                request, choices, self._grants.in_flight, now_ms, ahead
            )
            if upstream is not None:
                return upstream
        return None

    def _grant(self, waiting, upstream, now_ms):
        request = waiting.request
        self._check_staying(request, upstream)
        self._turns.record_decision(request.tier_rank, False, now_ms)
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
            is_cold=self._fleet.tracker.is_cold(upstream.upstream_id, now_ms),
        )
        held = InFlightGrant(request, grant, now_ms, waiting.cost_ms)
        self._grants.add(held)
        self._fleet.on_grant(held, now_ms)
        self._policy.on_grant(request, upstream.version, now_ms, upstream.upstream_id)
        return Granted(request=request, grant=grant)

    def _check_turn(self, request):
        self._invariants.check(
            Property.TIER_ORDER,
            self._queue.count_above(request.tier_rank) == 0,
            f"{request.request_id} granted in turn while a higher tier waits",
        )

    def _check_staying(self, request, upstream):
        self._invariants.check(
            Property.LEAVING_UPSTREAM_NO_WORK,
            not self._fleet.table.is_leaving(upstream.upstream_id),
            f"{request.request_id} granted to leaving {upstream.upstream_id}",
        )


def _within(request, choices):
    """Return the choices in the regions to which a request is bound.

    Harm prevented: a body leaves the regions where its customer or its route's owner
    allows it to be kept.
    """
    if not request.regions:
        return choices
    return [item for item in choices if item.region in request.regions]


def _untried(request, choices):
    """Return the choices that have not failed the request, or all where all have."""
    if not request.avoid:
        return choices
    untried = [item for item in choices if item.upstream_id not in request.avoid]
    return untried or choices
