"""Upstreams that declare how many requests they work on at once."""

from hemlockhoist.decisions.scheduling.candidates import (
    NO_GAP_BOUND_MS,
    CandidateSelector,
    PlacementCandidate,
    cache_saving_ms,
    cost_ms,
    risk_ms,
)
from hemlockhoist.decisions.scheduling.declared_slots_upstream import (
    DeclaredSlotsUpstream,
)
from hemlockhoist.decisions.scheduling.pace import PoolPace
from hemlockhoist.decisions.scheduling.prompt_cache import PromptCache
from hemlockhoist.decisions.scheduling.recovery import DECLARED_RECOVERY_MS
from hemlockhoist.decisions.scheduling.upstream_tracker import UpstreamTracker
from hemlockhoist.decisions.scheduling.warmup import Warmup
from hemlockhoist.decisions.work import OutcomeKind

US_PER_MS = 1_000
# A request waits for a better upstream only where it would be in time there with this
# part of its time: what it waits for is an estimate.
IN_TIME_FRACTION = 0.8
# Part of a declared pause that prompts may take: the rest is for the tokens.
PROMPT_GAP_FRACTION = 0.8
_FAILURES = frozenset({OutcomeKind.FAILED, OutcomeKind.BROKE_OFF, OutcomeKind.TIMEOUT})
_UNREACHED = frozenset({OutcomeKind.CONNECT_FAILED})


class DeclaredSlotsTracker(UpstreamTracker):
    """The tracks of a pool's upstreams that declare their places.

    Parameters
    ==========
    cache_tokens : int, optional
        Of prompts that one upstream keeps; 0 where that is not declared.
    warmup : Warmup, optional
        Bounds what cold upstreams are given.
    """

    __slots__ = (
        "_cache",
        "_counted",
        "_gaps_ms",
        "_pace",
        "_tracked",
        "_unreached",
        "_usable",
        "_warmup",
    )
    recovery_ms = DECLARED_RECOVERY_MS

    def __init__(self, cache_tokens=0, warmup=None):
        self._warmup = warmup or Warmup()
        self._cache = PromptCache(cache_tokens)
        self._tracked = {}
        # Those of the upstreams that are given work.
        self._usable = {}
        self._pace = PoolPace()
        # By route, as declared.
        self._gaps_ms = {}
        # Upstreams whose last connection failed: places of all others are as declared.
        self._unreached = set()
        # The upstreams whose places were counted last, and the count.
        self._counted = ((), 0)

    def set_listed(self, upstreams):
        """Begin tracks for new upstreams, and drop those of vanished ones."""
        former = self._tracked
        self._counted = ((), 0)
        self._tracked = {}
        for item in upstreams:
            tracked = former.get(item.upstream_id)
            if tracked is None or tracked.started_unix_ms != item.started_unix_ms:
                tracked = DeclaredSlotsUpstream(item, self._pace)
                self._cache.forget(item.upstream_id)
            tracked.limit.slots = item.slots
            self._tracked[item.upstream_id] = tracked
        for upstream_id in former.keys() - self._tracked.keys():
            self._cache.forget(upstream_id)
        self._unreached &= self._tracked.keys()
        self._warmup.set_listed(upstreams)

    def set_usable(self, upstreams, now_ms):
        """Take the upstreams that are given work."""
        self._usable = {
            item.upstream_id: self._tracked[item.upstream_id] for item in upstreams
        }

    def get(self, upstream_id):
        """Return the track of a listed upstream, or None."""
        return self._tracked.get(upstream_id)

    def slots(self, upstream_id, now_ms):
        """Return how many requests an upstream may hold."""
        tracked = self._tracked[upstream_id]
        if upstream_id in self._unreached and not tracked.allows_request(now_ms):
            return 0
        return tracked.limit.slots

    def accepts_more(self, upstream_id, now_ms):
        """Return whether an upstream may be given another request, places aside."""
        return self._warmup.allows(upstream_id, now_ms)

    def begin_takeover(self, now_ms):
        """Take notice that this home decides from here on, perhaps after another."""
        self._warmup.assume_limit_used(now_ms)

    def set_share(self, share):
        """Take the part of what is bounded over all hosts that is given out here."""
        self._warmup.set_share(share)

    def is_cold(self, upstream_id, now_ms):
        """Return whether an upstream warms up after its start."""
        return self._warmup.is_cold(upstream_id, now_ms)

    def on_adopt(self, held, now_ms):
        """Count a grant of a former home."""
        self._warmup.record_grant(held.grant.upstream_id, now_ms)

    def with_free_slot(self, upstreams, in_flight, now_ms):
        """Return those of some upstreams that may be given one more request.

        Load: asked for each request at the home of some hundred upstreams.
        """
        tracked, unreached = self._tracked, self._unreached
        free = [
            item
            for item in upstreams
            if in_flight(item.upstream_id) < tracked[item.upstream_id].limit.slots
        ]
        if self._warmup.any_cold(now_ms):
            allows = self._warmup.allows
            free = [item for item in free if allows(item.upstream_id, now_ms)]
        if not unreached:
            return free
        return [
            item
            for item in free
            if item.upstream_id not in unreached
            or tracked[item.upstream_id].allows_request(now_ms)
        ]

    def count_slots(self, upstreams, now_ms):
        """Return the places of some upstreams together."""
        if self._unreached:
            return super().count_slots(upstreams, now_ms)
        if self._counted[0] is not upstreams:
            count = super().count_slots(upstreams, now_ms)
            self._counted = (upstreams, count)
        return self._counted[1]

    def hold_ms(self, request):
        """Return for how long a request holds a place, at the pool's usual pace."""
        return self._pace.hold_ms(request)

    def sort_key_ms(self, arrived_ms, cost_ms, due_ms):
        """Return when a request's turn is, within its customer's.

        The request that would be late first goes first: a long prompt has to begin
        sooner than a short one to be in time, and is worth more to its caller.
        """
        return due_ms

    def choose(self, request, choices, in_flight, now_ms, ahead=0):
        """Return the upstream for a request, or None where it should wait."""
        work = self._pace.work(request)
        most_ms = self._most_prompts_ms(work, now_ms)
        best = self._offers(request, work, choices, in_flight, most_ms, now_ms).select(
            work.first_token_by_ms - now_ms
        )
        if best is None or self._should_wait(work, best, most_ms, ahead, now_ms):
            return None
        return best

    def _offers(self, request, work, choices, in_flight, most_ms, now_ms):
        """Return what the request may expect at the choices."""
        kept_at = self._kept(request)
        counts = self._failure_counts(now_ms)
        offers = CandidateSelector()
        for item in choices:
            tracked = self._tracked[item.upstream_id]
            kept = kept_at.get(item.upstream_id, 0)
            first_ms = tracked.first_token_ms(work, now_ms, kept)
            spared_ms = cache_saving_ms(tracked, kept)
            is_local = work.failure_domain == tracked.failure_domain
            # The rest of the cost is never below zero.
            if offers.is_dominated(first_ms - spared_ms, is_local):
                continue
            held = in_flight(item.upstream_id)
            risk = risk_ms(work, tracked, held, counts, most_ms, now_ms)
            cost = cost_ms(work, tracked, first_ms, held, now_ms) + risk - spared_ms
            offers.add(PlacementCandidate(item, first_ms, cost, risk, is_local))
        return offers

    def _kept(self, request):
        """Return by upstream how many tokens of a request's prompt it keeps."""
        if len(request.prefix_tokens) != len(request.prefix_hashes):
            return {}
        return self._cache.cached_tokens(request.prefix_hashes, request.prefix_tokens)

    def cached_elsewhere(self, request, upstream_id):
        """Return how many tokens are computed here though another upstream has them."""
        kept_at = self._kept(request)
        return max(kept_at.values(), default=0) - kept_at.get(upstream_id, 0)

    def _should_wait(self, work, best, most_ms, ahead, now_ms):
        """Return whether a request should wait for an upstream that is full.

        Made for long prompts in a burst, on engines of unlike speed: the place that is
        free first is a slow engine's, where the prompt alone takes longer than its
        caller's target, or makes the answers under way pause for longer than declared.
        It waits only where it would be late or do harm here, and neither there.
        """
        left_ms = work.first_token_by_ms - now_ms
        here = self._tracked[best.upstream_id]
        if left_ms <= 0:
            return False
        first_ms = here.first_token_ms(work, now_ms)
        is_late = first_ms > left_ms or not here.meets_deadline(work, first_ms, now_ms)
        if not is_late and here.prompts_ms(work) <= most_ms:
            return False
        within_ms = IN_TIME_FRACTION * left_ms
        frees_per_ms = 0.0
        soonest_ms = None
        for tracked in self._usable.values():
            if tracked is here or not work.allows_region(tracked.region):
                continue
            first_ms = tracked.first_token_within(work, within_ms, most_ms, now_ms)
            if first_ms is not None:
                frees_per_ms += tracked.limit.slots / max(1.0, tracked.hold_ms)
                soonest_ms = min(first_ms, soonest_ms or first_ms)
        if not frees_per_ms:
            return False
        wait_ms = (1 + ahead) / frees_per_ms
        return soonest_ms + wait_ms <= within_ms

    def _most_prompts_ms(self, work, now_ms):
        """Return how long prompts may take an upstream before its answers pause.

        The shortest pause that any route of the pool declares is kept to; where none
        does, no pause counts. A prompt that no upstream computes within it is one that
        engines compute in parts: it would go to an idle slow one, where it is late.
        """
        gap_ms = min(self._gaps_ms.values(), default=None)
        if gap_ms is None:
            return NO_GAP_BOUND_MS
        most_ms = PROMPT_GAP_FRACTION * gap_ms
        for tracked in self._usable.values():
            if tracked.prompts_ms(work) <= most_ms and tracked.allows_request(now_ms):
                return most_ms
        return NO_GAP_BOUND_MS

    def _failure_counts(self, now_ms):
        """Return the failures and the answers of all upstreams, lately."""
        failures = answers = 0.0
        for tracked in self._usable.values():
            failed, ended = tracked.failures.counts(now_ms)
            failures += failed
            answers += ended
        return failures, answers

    def on_grant(self, held, now_ms):
        """Count a grant."""
        request = held.request
        if request.max_gap_ms > 0:
            self._gaps_ms[request.route] = request.max_gap_ms
        upstream_id = held.grant.upstream_id
        tracked = self._tracked[upstream_id]
        self._warmup.record_grant(upstream_id, now_ms)
        kept = self._kept(request).get(upstream_id, 0)
        tracked.on_grant(held, self._pace.work(request), now_ms, kept)
        if len(request.prefix_tokens) == len(request.prefix_hashes):
            self._cache.record(
                upstream_id, request.prefix_hashes, request.prefix_tokens
            )

    def on_first_token(self, held, first_token_ms, now_ms):
        """Learn from a first token that is told before the answer's end."""
        tracked = self._tracked.get(held.grant.upstream_id)
        if tracked is None or held.first_token_reported:
            return
        held.first_token_reported = True
        tracked.on_prompt_done(held, now_ms)
        self._note_reached(held.grant.upstream_id, tracked, now_ms)
        is_whole = held.pending_tokens == held.request.prompt_tokens
        if held.prompt_wait_ms <= 0 and is_whole:
            # What is kept is only believed, and says nothing of an engine's pace.
            tracked.pace.observe_first_token(held.request.prompt_tokens, first_token_ms)

    def on_outcome(self, held, outcome, hold_ms, predicted_ms, now_ms):
        """Learn from a returned grant."""
        upstream_id = held.grant.upstream_id
        tracked = self._tracked.get(upstream_id)
        if tracked is None:
            return
        tracked.on_prompt_done(held, now_ms)
        if outcome.kind in _UNREACHED:
            tracked.breaker.on_connect_failure(now_ms)
            self._unreached.add(upstream_id)
        elif outcome.kind in _FAILURES:
            tracked.failures.observe(True, now_ms)
        elif outcome.kind is OutcomeKind.SUCCESS:
            tracked.on_success(hold_ms, now_ms)
            self._note_back(upstream_id, now_ms)
            _learn_pace(tracked, outcome)

    def _note_reached(self, upstream_id, tracked, now_ms):
        tracked.breaker.on_reachable()
        self._note_back(upstream_id, now_ms)

    def _note_back(self, upstream_id, now_ms):
        """Take a sign of life; one that was out of reach may just have started."""
        if upstream_id in self._unreached:
            self._unreached.discard(upstream_id)
            self._warmup.assume_cold(upstream_id, now_ms)

    def forget(self, held, now_ms):
        """Stop counting a grant whose outcome nobody will report."""
        tracked = self._tracked.get(held.grant.upstream_id)
        if tracked is not None:
            tracked.on_prompt_done(held, now_ms)

    def on_tick(self, now_ms):
        """Count what has stalled, and see what is cold; to be called at each tick."""
        for upstream_id, tracked in self._tracked.items():
            tracked.count_stalled(now_ms)
            tracked.set_cold(self._warmup.is_cold(upstream_id, now_ms))


def _learn_pace(tracked, outcome):
    if not outcome.output_tokens:
        tracked.pace.observe_service_call(outcome.total_ms)
    elif outcome.token_us > 0:
        tracked.pace.observe_token(outcome.token_us / US_PER_MS)
