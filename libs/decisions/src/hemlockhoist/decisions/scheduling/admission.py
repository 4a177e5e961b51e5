"""Whether a request may wait, and when a refused one should come back."""

from hemlockhoist.base import ResultCode

# A client that comes back sooner than this only adds load.
MIN_RETRY_AFTER_MS = 200
# A client that is told more than this takes it for an outage; the queue of a pool is
# bounded to less.
MAX_RETRY_AFTER_MS = 60_000
# A pool without upstreams gets its list again within a second or two.
NO_UPSTREAM_RETRY_AFTER_MS = 2_000
# Bound on the queue of a tier that is not in the declarations any more.
DEFAULT_MAX_QUEUED = 256
# Time constant of the measured arrival of work by tier.
RATE_WINDOW_MS = 5_000
# A tier is never taken to get less than this part of the places: the measured load
# of the tiers above it is a short-lived figure, and a tier that is told "never" would
# not come back when it falls.
MIN_SHARE = 0.05
# Where the first token target can not be met even by an idle pool, the deadline alone
# decides; of the time to the deadline, this part may be spent waiting.
LATE_WAIT_SHARE = 0.25
# A tier is refused for want of places only when no lower tier was given one for this
# long. Made for a top tier that is just short of all places: refused for being late
# while lower tiers are served a moment later, it would be shed before them.
LOWER_SERVED_MS = 10_000
# A late request is looked at again this often. Looked at each second, all late ones
# of a burst were refused ten seconds after its beginning, and lower tiers served as
# it ended.
LATE_REVIEW_MS = 10_000
# A prediction may be wrong by half: a request is not called hopeless before its
# deadline is nearer than this part of the predicted time.
HOPELESS_PART = 0.5
# A request gets the last place that is free, often of a slow engine with prompts before
# it: its first token is allowed this many times the usual, ...
FIRST_ALLOWANCE = 2.0
# ... and this for the messages between a home's decision and its caller.
LEAVE_MARGIN_MS = 100


class TierLoad:
    """Work granted by tier, as places held on average over the last seconds."""

    __slots__ = ("_at_ms", "_work")

    def __init__(self):
        self._work = {}
        self._at_ms = 0

    def add(self, rank, cost_ms, now_ms):
        """Count granted work of a tier."""
        self._decay(now_ms)
        self._work[rank] = self._work.get(rank, 0.0) + cost_ms

    def slots_above(self, rank, now_ms):
        """Return how many places the tiers above ``rank`` hold on average."""
        self._decay(now_ms)
        work = sum(cost for r, cost in self._work.items() if r < rank)
        return work / RATE_WINDOW_MS

    def _decay(self, now_ms):
        passed_ms = now_ms - self._at_ms
        if passed_ms <= 0:
            return
        kept = max(0.0, 1.0 - passed_ms / RATE_WINDOW_MS)
        for rank in self._work:
            self._work[rank] *= kept
        self._at_ms = now_ms


class Admission:
    """Decides at arrival whether waiting has a prospect.

    Made for bursts and for saturation that lasts minutes. A queue without this check
    fills until each request is served just too late: the engines stay busy and no
    answer counts. A request without prospect is refused at once, with the time after
    which the queue will have room, so that its client can go elsewhere.
    """

    __slots__ = ("_granted_ms", "_max_queued", "_rates", "_shedding")

    def __init__(self, max_queued):
        self._granted_ms = {}
        self._max_queued = max_queued
        self._rates = TierLoad()
        self._shedding = set()

    @classmethod
    def from_config(cls, tiers):
        """Return the admission for a sequence of declared tiers."""
        return cls({tier.rank: tier.max_queued for tier in tiers})

    def set_tiers(self, tiers):
        """Take changed tiers."""
        self._max_queued = {tier.rank: tier.max_queued for tier in tiers}

    def max_queued(self, rank):
        """Return how many requests of a tier may wait."""
        return self._max_queued.get(rank, DEFAULT_MAX_QUEUED)

    def record_grant(self, rank, cost_ms, now_ms):
        """Count granted work."""
        self._rates.add(rank, cost_ms, now_ms)
        self._granted_ms[rank] = now_ms

    def lower_tier_served(self, rank, now_ms):
        """Return whether a lower tier was given a place lately."""
        since_ms = now_ms - LOWER_SERVED_MS
        return any(r > rank and at > since_ms for r, at in self._granted_ms.items())

    def record_shed(self, rank):
        """Remember that a tier is being refused for want of places."""
        self._shedding.add(rank)

    def is_shedding_above(self, rank, queue):
        """Return whether a higher tier is being refused while it still waits.

        A lower tier that were admitted meanwhile could be served after a higher one
        was refused, which is the order that must never occur.
        """
        for shed in list(self._shedding):
            if not queue.tier(shed).size:
                self._shedding.discard(shed)
        return any(shed < rank for shed in self._shedding)

    def wait_ms(self, request, queue, slots, now_ms):
        """Return how long the request is expected to wait for a place.

        Parameters
        ==========
        request : hemlockhoist.decisions.WorkRequest
        queue : RequestQueue
        slots : int
            Places of all upstreams that take work.
        now_ms : int
        """
        rank = request.tier_rank
        ahead_ms = queue.tier(rank).work_ahead_ms(request)
        ahead_ms += sum(queue.tier(r).cost_ms for r in queue.ranks if r < rank)
        if ahead_ms <= 0:
            return 0.0
        left = slots - self._rates.slots_above(rank, now_ms)
        # Failure: a home has moved, two of three upstreams leave, the third fails, and
        # no place is left while requests wait. The division below then has no result,
        # and each submit ends as an internal error. One place is counted then.
        return ahead_ms / max(MIN_SHARE * max(1, slots), left)

    def refusal_code(self, request, queue, slots, estimate, now_ms):
        """Return why the request has no prospect, or None.

        Returns
        =======
        hemlockhoist.base.ResultCode or None
            ``DEADLINE_UNREACHABLE`` where not even an idle pool could answer in time,
            ``OVERLOADED`` where the queue is too long for it.
        """
        left_ms = request.deadline_ms - now_ms
        if left_ms <= 0:
            return ResultCode.DEADLINE_PASSED
        if not estimate.has_samples:
            return None
        longest_ms = latest_start_ms(request, estimate) - now_ms
        if longest_ms < 0:
            return ResultCode.DEADLINE_UNREACHABLE
        slack = slack_ms(request, estimate, now_ms)
        if self.lower_tier_served(request.tier_rank, now_ms):
            slack = max(slack, longest_ms)
        if self.wait_ms(request, queue, slots, now_ms) > slack:
            return ResultCode.OVERLOADED
        return None

    def retry_after_ms(self, request, queue, slots, estimate, now_ms):
        """Return when the queue ahead will be short enough for the request."""
        if slots <= 0:
            return NO_UPSTREAM_RETRY_AFTER_MS
        wait_ms = self.wait_ms(request, queue, slots, now_ms)
        over_ms = wait_ms - slack_ms(request, estimate, now_ms) / 2
        return int(min(MAX_RETRY_AFTER_MS, max(MIN_RETRY_AFTER_MS, over_ms)))


def latest_start_ms(request, estimate):
    """Return until when a request may wait and still be answered.

    Made for callers of streams, who leave long before their deadline when nothing has
    come. Failure: requests are held in a burst for places that they get when nobody
    waits any more; they end unanswered, instead of with a time to come back.
    """
    hold_ms = estimate.hold_ms(request) if estimate.has_samples else 0.0
    by_deadline_ms = request.deadline_ms - HOPELESS_PART * hold_ms
    if request.waits_until_ms is None:
        return int(by_deadline_ms)
    first_ms = FIRST_ALLOWANCE * estimate.first_token_ms(request) + LEAVE_MARGIN_MS
    return int(min(by_deadline_ms, request.waits_until_ms - first_ms))


def slack_ms(request, estimate, now_ms):
    """Return how long a request may wait and still be worth its place.

    Until the first token target where an idle pool could meet it, else a part of the
    time to the deadline; in both cases not beyond what the whole answer needs.
    """
    left_ms = request.deadline_ms - now_ms
    until_ms = request.first_token_by_ms - now_ms - estimate.first_token_ms(request)
    if until_ms <= 0:
        until_ms = LATE_WAIT_SHARE * left_ms
    whole_ms = left_ms - estimate.hold_ms(request)
    return max(0.0, min(until_ms, max(whole_ms, LATE_WAIT_SHARE * left_ms)))
