"""Admission control: whether a request is queued, and when to retry if it is not."""

import msgspec

from hemlockhoist.base import ResultCode

# A retry that comes sooner than this only adds load.
MIN_RETRY_AFTER_MS = 200
# Clients treat a longer Retry-After as an outage; the queue of a pool is bounded to
# less than this.
MAX_RETRY_AFTER_MS = 60_000
# The list of a pool without upstreams is refreshed within one or two seconds.
NO_UPSTREAM_RETRY_AFTER_MS = 2_000
# Bound on the queue of a tier that has been removed from the declarations.
DEFAULT_MAX_QUEUED = 256
# Time constant of the measured rate of granted work by tier.
RATE_WINDOW_MS = 5_000
# A tier is assumed to get at least this fraction of the slots. The measured load of the
# tiers above it is short-lived, and a client that got the longest Retry-After because
# of it would not retry when that load falls.
MIN_SLOT_FRACTION = 0.05
# Where even an idle pool cannot meet the first token target, only the deadline counts:
# a request may wait for this fraction of the time to it.
LATE_WAIT_FRACTION = 0.25
# A tier is refused for lack of slots only if no lower tier was assigned one for this
# long. Otherwise a top tier that needs almost all slots would be refused for being late
# while lower tiers are served a moment later, and so be shed before them.
LOWER_TIER_SERVED_MS = 10_000
# Interval between reviews of a late request. With reviews every second, all late
# requests of a burst were refused ten seconds after its beginning, and lower tiers
# were served as it ended.
LATE_REVIEW_MS = 10_000
# A late request whose expected wait is not longer than this stays queued: the queue is
# about to empty, and lower tiers that arrive a moment later would be served instead.
SHORT_WAIT_MS = 300
SHORT_WAIT_REVIEW_MS = 1_000
# A prediction may be wrong by half: a request is treated as answerable in time unless
# its deadline is nearer than this fraction of the predicted time.
MIN_HOLD_FRACTION = 0.5
# The last free slot is often at a slow engine with prompts ahead of the request: its
# first token is allowed this multiple of the usual time.
FIRST_TOKEN_FACTOR = 2.0
# Added for the messages between the home's decision and the caller.
DISCONNECT_MARGIN_MS = 100


class PoolCapacity(msgspec.Struct, frozen=True):
    """How many requests the upstreams of a pool can take.

    Parameters
    ==========
    slots : float
        Of all upstreams that accept work.
    start_wait_ms : int
        Time until the first of them may be sent a request at all.
    """

    slots: float
    start_wait_ms: int = 0


class TierLoad:
    """Work by tier, as the average number of slots that it takes in recent seconds.

    Parameters
    ==========
    window_ms : int, optional
        Time constant of the average.
    """

    __slots__ = ("_at_ms", "_window_ms", "_work")

    def __init__(self, window_ms=RATE_WINDOW_MS):
        self._window_ms = window_ms
        self._work = {}
        self._at_ms = 0

    def add(self, rank, cost_ms, now_ms):
        """Add work of a tier."""
        self._decay(now_ms)
        self._work[rank] = self._work.get(rank, 0.0) + cost_ms

    def slots_above(self, rank, now_ms):
        """Return the average number of slots that the tiers above ``rank`` take."""
        self._decay(now_ms)
        work = sum(cost for r, cost in self._work.items() if r < rank)
        return work / self._window_ms

    def _decay(self, now_ms):
        passed_ms = now_ms - self._at_ms
        if passed_ms <= 0:
            return
        kept = max(0.0, 1.0 - passed_ms / self._window_ms)
        for rank in self._work:
            self._work[rank] *= kept
        self._at_ms = now_ms


class Admission:
    """Decides at arrival whether a request can be served in time if it is queued.

    Under bursts, and under saturation that lasts minutes, a queue without this check
    fills until each request is served just too late: the engines are busy and no answer
    is useful. A request that cannot be served in time is refused at once, with the time
    after which the queue will have room, so that its client can go elsewhere.
    """

    __slots__ = (
        "_granted_ms",
        "_load",
        "_max_queued",
        "_reservations",
        "_shedding_ranks",
    )

    def __init__(self, max_queued, client_retries=None):
        has_reservations = client_retries is not None and client_retries.reserves
        self._reservations = client_retries if has_reservations else None
        self._granted_ms = {}
        self._max_queued = max_queued
        self._load = TierLoad()
        self._shedding_ranks = set()

    @classmethod
    def from_config(cls, tiers, client_retries=None):
        """Return the admission control for a sequence of declared tiers.

        Parameters
        ==========
        tiers : sequence of hemlockhoist.declarations.Tier
        client_retries : ClientRetries or RetryReservations, optional
            New requests wait behind the reserved capacity of the latter.
        """
        return cls({tier.rank: tier.max_queued for tier in tiers}, client_retries)

    def set_tiers(self, tiers):
        """Replace the declared tiers."""
        self._max_queued = {tier.rank: tier.max_queued for tier in tiers}

    def max_queued(self, rank):
        """Return the maximum number of queued requests of a tier."""
        return self._max_queued.get(rank, DEFAULT_MAX_QUEUED)

    def record_grant(self, rank, cost_ms, now_ms):
        """Record granted work of a tier."""
        self._load.add(rank, cost_ms, now_ms)
        self._granted_ms[rank] = now_ms

    def lower_tier_served(self, rank, now_ms):
        """Return whether a lower tier was assigned a slot recently."""
        since_ms = now_ms - LOWER_TIER_SERVED_MS
        return any(r > rank and at > since_ms for r, at in self._granted_ms.items())

    def record_shed(self, rank):
        """Record that a tier is being refused for lack of slots."""
        self._shedding_ranks.add(rank)

    def is_shedding_above(self, rank, queue):
        """Return whether a higher tier is being refused and still has waiting requests.

        A lower tier admitted in the meantime could be served after a higher one was
        refused, which violates the tier order.
        """
        for shed in list(self._shedding_ranks):
            if not queue.tier(shed).size:
                self._shedding_ranks.discard(shed)
        return any(shed < rank for shed in self._shedding_ranks)

    def wait_ms(self, request, queue, capacity, now_ms):
        """Return how long the request is expected to wait for a slot.

        Parameters
        ==========
        request : hemlockhoist.decisions.WorkRequest
        queue : RequestQueue
        capacity : PoolCapacity
        now_ms : int
        """
        rank = request.tier_rank
        ahead_ms = queue.tier(rank).work_ahead_ms(request)
        ahead_ms += sum(queue.tier(r).cost_ms for r in queue.ranks if r < rank)
        if ahead_ms <= 0:
            return capacity.start_wait_ms
        queue_wait_ms = ahead_ms / self.slots_left(rank, capacity, now_ms)
        return capacity.start_wait_ms + queue_wait_ms

    def slots_left(self, rank, capacity, now_ms):
        """Return the average number of slots that the tiers above leave to a tier."""
        slots = capacity.slots
        left = slots - self._load.slots_above(rank, now_ms)
        # At least one slot is counted. Failure prevented: after a home has moved, two
        # of three upstreams leave and the third fails, so no slot is left while
        # requests wait; the division by zero made each submit end as an internal error.
        return max(MIN_SLOT_FRACTION * max(1, slots), left)

    def _is_behind_reservations(
        self, request, queue_wait_ms, slack, capacity, estimate, now_ms
    ):
        """Return whether a request waits too long behind reserved capacity.

        A slot is not kept free for a reservation: a request behind which nobody waits
        is admitted.
        """
        if self._reservations is None or queue_wait_ms <= capacity.start_wait_ms:
            return False
        slots = self.slots_left(request.tier_rank, capacity, now_ms)
        cost_ms = estimate.hold_ms(request)
        wait_ms = self._reservations.wait_ms(
            request, cost_ms, queue_wait_ms * slots, slots, slack, now_ms
        )
        return wait_ms > slack

    def refusal_code(self, request, queue, capacity, estimate, now_ms):
        """Return the code with which the request is refused, or None to admit it.

        Returns
        =======
        hemlockhoist.base.ResultCode or None
            ``DEADLINE_UNREACHABLE`` where not even an idle pool could answer in time,
            ``OVERLOADED`` where the expected wait in the queue is too long.
        """
        left_ms = request.deadline_ms - now_ms
        if left_ms <= 0:
            return ResultCode.DEADLINE_PASSED
        if capacity.start_wait_ms >= left_ms:
            return ResultCode.OVERLOADED
        if not estimate.has_samples:
            return None
        longest_ms = latest_start_ms(request, estimate) - now_ms
        if longest_ms < 0:
            return ResultCode.DEADLINE_UNREACHABLE
        slack = slack_ms(request, estimate, now_ms)
        if self.lower_tier_served(request.tier_rank, now_ms):
            slack = max(slack, longest_ms)
        wait_ms = self.wait_ms(request, queue, capacity, now_ms)
        if wait_ms > slack or self._is_behind_reservations(
            request, wait_ms, slack, capacity, estimate, now_ms
        ):
            return ResultCode.OVERLOADED
        return None

    def late_review_ms(self, request, queue, capacity, estimate, now_ms):
        """Return the time to the next review of a late request, or None to refuse it.

        Load: the end of a burst. Late requests stay queued while they wait alone in
        their tier, while lower tiers are served, or while the queue is about to empty.
        Otherwise every answer would be late under saturation.
        """
        rank = request.tier_rank
        if self.lower_tier_served(rank, now_ms) or not queue.tier(rank).size:
            return LATE_REVIEW_MS
        if not estimate.has_samples:
            return None
        if self.wait_ms(request, queue, capacity, now_ms) <= SHORT_WAIT_MS:
            return SHORT_WAIT_REVIEW_MS
        return None

    def retry_after_ms(self, request, queue, capacity, estimate, now_ms):
        """Return the time until the queue is short enough for the request."""
        if capacity.slots <= 0:
            return NO_UPSTREAM_RETRY_AFTER_MS
        wait_ms = self.wait_ms(request, queue, capacity, now_ms)
        over_ms = wait_ms - slack_ms(request, estimate, now_ms) / 2
        return int(min(MAX_RETRY_AFTER_MS, max(MIN_RETRY_AFTER_MS, over_ms)))


def latest_start_ms(request, estimate):
    """Return the latest time at which a request can be granted and still be answered.

    Callers of streams disconnect long before their deadline if nothing has arrived.
    Failure prevented: in a burst, requests were queued for slots that they got after
    their callers had disconnected; they ended unanswered instead of with a retry time.
    """
    hold_ms = estimate.hold_ms(request) if estimate.has_samples else 0.0
    by_deadline_ms = request.deadline_ms - MIN_HOLD_FRACTION * hold_ms
    if request.waits_until_ms is None:
        return int(by_deadline_ms)
    first_ms = (
        FIRST_TOKEN_FACTOR * estimate.first_token_ms(request) + DISCONNECT_MARGIN_MS
    )
    return int(min(by_deadline_ms, request.waits_until_ms - first_ms))


def slack_ms(request, estimate, now_ms):
    """Return how long a request may wait and still have a useful answer.

    The wait ends in time for the first token target where an idle pool could meet it,
    else after a fraction of the time to the deadline. In both cases it leaves the whole
    answer its predicted time, but is not shortened below that fraction for it.
    """
    left_ms = request.deadline_ms - now_ms
    until_ms = request.first_token_by_ms - now_ms - estimate.first_token_ms(request)
    if until_ms <= 0:
        until_ms = LATE_WAIT_FRACTION * left_ms
    whole_ms = left_ms - estimate.hold_ms(request)
    return max(0.0, min(until_ms, max(whole_ms, LATE_WAIT_FRACTION * left_ms)))


def unanswerable_code(request, estimate, now_ms):
    """Return the code for a request that cannot be answered any more, or None."""
    if request.deadline_ms <= now_ms:
        return ResultCode.DEADLINE_PASSED
    if latest_start_ms(request, estimate) <= now_ms:
        return ResultCode.DEADLINE_UNREACHABLE
    return None
