"""Tracker of upstreams that declare how many requests they work on at once."""

from hemlockhoist.decisions.scheduling.candidates import (
    CandidateCollector,
    CandidateSelector,
    PlacementCandidate,
    cache_saving_ms,
    connection_saving_ms,
    cost_ms,
    longest_prefill_ms,
    risk_ms,
)
from hemlockhoist.decisions.scheduling.declared_slots_upstream import (
    DeclaredSlotsUpstream,
)
from hemlockhoist.decisions.scheduling.engine_memory import EngineMemory
from hemlockhoist.decisions.scheduling.intake import UpstreamIntake
from hemlockhoist.decisions.scheduling.pace import PoolPace
from hemlockhoist.decisions.scheduling.pace_samples import (
    add_answer_sample,
    add_first_token_sample,
    add_overtaken_sample,
)
from hemlockhoist.decisions.scheduling.present_speeds import PresentSpeeds
from hemlockhoist.decisions.scheduling.prompt_cache import PromptCache
from hemlockhoist.decisions.scheduling.recovery import DECLARED_RECOVERY_MS
from hemlockhoist.decisions.scheduling.upstream_tracker import UpstreamTracker
from hemlockhoist.decisions.work import OutcomeKind

# A request waits for a better upstream only if its first token is expected there within
# this fraction of the remaining time, as the waiting time is an estimate.
IN_TIME_FRACTION = 0.8
# A hedge at an upstream slower than this would often be as late as the first attempt.
MAX_HEDGE_SLOWDOWN = 1.2
# Number of requests that an upstream turns away in a row before it is suspended.
MIN_REJECTIONS = 2
# Fraction of the upstreams that are suspended at once for requests that they turned away.
# If more shed, one is as likely to take a request as another, and requests that wait for
# a suspension to end would be late.
MAX_REJECTING_FRACTION = 0.5
_FAILURES = frozenset({OutcomeKind.FAILED, OutcomeKind.BROKE_OFF, OutcomeKind.TIMEOUT})
_CONNECT_FAILURES = frozenset({OutcomeKind.CONNECT_FAILED})
_UNSENT = frozenset(
    {OutcomeKind.CONNECT_FAILED, OutcomeKind.LINK_FAILED, OutcomeKind.NOT_SENT}
)
# Outcomes of requests that an upstream may still work on.
_ABANDONED = frozenset(
    {
        OutcomeKind.BROKE_OFF,
        OutcomeKind.CANCELLED,
        OutcomeKind.LINK_LOST,
        OutcomeKind.TIMEOUT,
    }
)


class DeclaredSlotsTracker(UpstreamTracker):
    """Tracks the upstreams of a pool that declare their slots.

    Parameters
    ==========
    cache_tokens : int, optional
        Memory of one upstream for the tokens of its requests, and of prompts that it
        keeps cached; 0 if that is not declared.
    warmup : Warmup, optional
        Limits the requests that cold upstreams get.
    slowdowns : ReportedSlowdowns, optional
    """

    __slots__ = (
        "_cache",
        "_engine_memory",
        "_intake",
        "_max_gaps_ms",
        "_pace",
        "_slot_count",
        "_speeds",
        "_tracked",
        "_suspended",
        "_usable",
    )
    recovery_ms = DECLARED_RECOVERY_MS

    def __init__(self, cache_tokens=0, warmup=None, slowdowns=None):
        self._speeds = PresentSpeeds(slowdowns)
        self._intake = UpstreamIntake(warmup)
        self._cache = PromptCache(cache_tokens)
        self._engine_memory = EngineMemory(cache_tokens)
        self._tracked = {}
        # The tracked upstreams that may be assigned work.
        self._usable = {}
        self._pace = PoolPace()
        # Declared maximum gap between tokens by route.
        self._max_gaps_ms = {}
        # Upstreams whose circuit breaker may be open, and whether they may have
        # restarted; all others have their declared slots.
        self._suspended = {}
        # The upstreams whose slots were last counted, and the count.
        self._slot_count = ((), 0)

    def set_listed(self, upstreams, now_ms):
        """Start tracking new upstreams, and forget those that are no longer listed."""
        previous = self._tracked
        self._slot_count = ((), 0)
        self._tracked = {}
        for item in upstreams:
            tracked = previous.get(item.upstream_id)
            if tracked is None or tracked.started_unix_ms != item.started_unix_ms:
                tracked = DeclaredSlotsUpstream(item, self._pace)
                self._forget_contents(item.upstream_id)
            tracked.limit.slots = item.slot_count
            self._tracked[item.upstream_id] = tracked
        for upstream_id in previous.keys() - self._tracked.keys():
            self._forget_contents(upstream_id)
        self._suspended = {
            key: may_be_new
            for key, may_be_new in self._suspended.items()
            if key in self._tracked
        }
        self._intake.set_listed(upstreams, now_ms)

    def _forget_contents(self, upstream_id):
        """Forget what an upstream holds that has restarted or is gone."""
        self._cache.forget(upstream_id)
        self._engine_memory.forget(upstream_id)
        self._speeds.forget(upstream_id)

    def set_usable(self, upstreams, now_ms):
        """Set the upstreams that may be assigned work."""
        self._usable = {
            item.upstream_id: self._tracked[item.upstream_id] for item in upstreams
        }

    def get(self, upstream_id):
        """Return the ``DeclaredSlotsUpstream`` of a listed upstream, or None."""
        return self._tracked.get(upstream_id)

    def slots(self, upstream_id, now_ms):
        """Return how many requests an upstream may hold."""
        if self.is_suspended(upstream_id, now_ms):
            return 0
        slots = self._tracked[upstream_id].limit.slots
        return slots - self._intake.brittle.count_abandoned(upstream_id, now_ms)

    def is_suspended(self, upstream_id, now_ms):
        """Return whether an upstream gets no request now, as others failed there."""
        if upstream_id not in self._suspended:
            return False
        return not self._tracked[upstream_id].allows_request(now_ms)

    def suits_hedge(self, upstream_id, now_ms):
        """Return whether a second attempt of a slow request may go to an upstream."""
        if upstream_id in self._suspended:
            return False
        self._speeds.refresh_if_reported(self._usable, now_ms)
        return self._tracked[upstream_id].slowdown <= MAX_HEDGE_SLOWDOWN

    def usual_first_ms(self, held, estimate):
        """Return the usual time until a listed upstream begins to answer a request."""
        tracked, request = self._tracked[held.grant.upstream_id], held.request
        pace = tracked.pace
        first_ms = pace.prompt_ms(request.prompt_tokens) + pace.base_ms()
        if not request.is_stream:
            first_ms = max(first_ms, tracked.whole_ms(estimate.hold_ms(request)))
        return held.prompt_wait_ms + first_ms

    def accepts_more(self, upstream_id, now_ms):
        """Return whether an upstream may take a request, apart from free slots."""
        if not self._intake.allows(upstream_id, now_ms):
            return False
        in_doubt = len(self._tracked[upstream_id].pending)
        return self._intake.brittle.allows(upstream_id, in_doubt, now_ms)

    def begin_takeover(self, now_ms):
        """Begin as a new home, possibly as the successor of another one."""
        self._intake.begin_takeover(now_ms)

    def set_share(self, share):
        """Set the share of the fleet-wide bounds that this home may use."""
        self._intake.set_share(share)

    def is_cold(self, upstream_id, now_ms):
        """Return whether an upstream is still warming up after its start."""
        return self._intake.warmup.is_cold(upstream_id, now_ms)

    def observe_limit(self, upstream_id, requests_per_s, heard_ms, now_ms):
        """Record the limit that an upstream advertised; return whether it changed."""
        limits = self._intake.limits
        self._slot_count = ((), 0)
        return limits.observe(upstream_id, requests_per_s, heard_ms, now_ms)

    def observe_brittle(self, upstream_id, rejections_per_s, heard_ms, now_ms):
        """Record how many rejections an upstream bears; return whether it changed."""
        brittle = self._intake.brittle
        return brittle.observe(upstream_id, rejections_per_s, heard_ms, now_ms)

    def observe_rejection(self, upstream_id, now_ms):
        """Record that an upstream turned a request away for want of room."""
        self._intake.brittle.record_rejection(upstream_id, now_ms)

    @property
    def any_brittle(self):
        """Whether any upstream advertises that it is brittle, or recently did."""
        return self._intake.brittle.any_brittle

    def is_brittle(self, upstream_id):
        """Return whether an upstream advertises that it is brittle."""
        return self._intake.brittle.is_brittle(upstream_id)

    def observe_slowdown(self, upstream_id, percent, measured_ms, now_ms):
        """Record how slow an upstream says it is.

        Return whether it is the upstream's first report.
        """
        tracked = self._tracked.get(upstream_id)
        if tracked is None:
            return False
        return self._speeds.observe(upstream_id, tracked, percent, measured_ms, now_ms)

    @property
    def slowed_count(self):
        """Number of upstreams that are slower or faster than usual, by their reports."""
        return self._speeds.affected_count

    def pool_slowdown(self, now_ms):
        """Return the pool's present processing time as a multiple of the usual one."""
        self._speeds.refresh_if_reported(self._usable, now_ms)
        return self._speeds.pool_factor

    @property
    def any_limited(self):
        """Whether any upstream advertises a limit on its request rate."""
        return self._intake.limits.any_limited

    def is_limited(self, upstream_id):
        """Return whether an upstream advertises a limit on its request rate."""
        return self._intake.limits.is_limited(upstream_id)

    def limit_wait_ms(self, upstream_id, now_ms):
        """Return when an advertised limit allows the next request, as time from now."""
        return self._intake.limits.wait_ms(upstream_id, now_ms)

    def on_adopt(self, held, now_ms):
        """Record a grant of a previous home."""
        self._intake.warmup.record_grant(held.grant.upstream_id, now_ms)
        self._record_tokens(held)

    def with_free_slot(self, upstreams, in_flight, now_ms):
        """Return those of the given upstreams that may be assigned one more request.

        Hot path: called for each request, also at the home of some hundred upstreams.
        """
        tracked, suspended = self._tracked, self._suspended
        free = [
            item
            for item in upstreams
            if in_flight(item.upstream_id) < tracked[item.upstream_id].limit.slots
        ]
        free = self._intake.allowed(free, now_ms)
        if self._intake.brittle.any_brittle:
            free = [
                item
                for item in free
                if in_flight(item.upstream_id) < self.slots(item.upstream_id, now_ms)
                and self.accepts_more(item.upstream_id, now_ms)
            ]
        if not suspended:
            return free
        return [
            item
            for item in free
            if item.upstream_id not in suspended
            or tracked[item.upstream_id].allows_request(now_ms)
        ]

    def count_slots(self, upstreams, now_ms):
        """Return the total number of slots of the given upstreams.

        Of an upstream that advertises a limit, only those count that requests at its
        rate keep busy, so that expected waits and retry times are true.
        """
        if self._suspended and not self.any_limited:
            return super().count_slots(upstreams, now_ms)
        if self._slot_count[0] is not upstreams:
            count = self._count_slots_in_use(upstreams, now_ms)
            self._slot_count = (upstreams, count)
        return self._slot_count[1]

    def _count_slots_in_use(self, upstreams, now_ms):
        if not self.any_limited:
            return super().count_slots(upstreams, now_ms)
        count = 0.0
        for item in upstreams:
            tracked = self._tracked[item.upstream_id]
            in_use = tracked.hold_ms * self._starts_per_ms(item.upstream_id, tracked)
            count += min(self.slots(item.upstream_id, now_ms), in_use)
        return count

    def _starts_per_ms(self, upstream_id, tracked):
        return self._intake.starts_per_ms(
            upstream_id, tracked.limit.slots, tracked.hold_ms
        )

    def hold_ms(self, request):
        """Return how long a request is expected to hold a slot at the pool's pace."""
        return self._pace.hold_ms(request) * self._speeds.pool_factor

    def sort_key_ms(self, arrived_ms, cost_ms, due_ms):
        """Return the key by which the requests of one customer are ordered.

        Earliest due time first: a long prompt has to start sooner than a short one to
        meet its target, and is worth more to its caller.
        """
        return due_ms

    def choose(self, request, choices, in_flight, now_ms, ahead=0, backed_off=()):
        """Return the upstream for a request, or None if it should wait."""
        self._speeds.refresh_if_reported(self._usable, now_ms)
        choices = self.fitting(request, choices, now_ms)
        work = self._pace.work(request)
        max_prompts_ms = self._longest_prefill_ms(work, now_ms)
        best = self._candidates(
            request, work, choices, in_flight, max_prompts_ms, now_ms
        ).select(work.first_token_by_ms - now_ms)
        if best is None or self._should_wait(
            work, best, max_prompts_ms, ahead, backed_off, now_ms
        ):
            return None
        return best

    def fitting(self, request, choices, now_ms):
        """Return those of the choices whose memory holds a request."""
        tokens = request.prompt_tokens + request.output_tokens
        return self._engine_memory.fitting(choices, tokens, now_ms)

    def evaluate(self, request, choices, in_flight, now_ms):
        """Return the ``PlacementCandidate`` of each choice."""
        self._speeds.refresh_if_reported(self._usable, now_ms)
        work = self._pace.work(request)
        longest_ms = self._longest_prefill_ms(work, now_ms)
        collector = CandidateCollector()
        self._candidates(
            request, work, choices, in_flight, longest_ms, now_ms, collector
        )
        return collector.candidates

    def _longest_prefill_ms(self, work, now_ms):
        gaps_ms = self._max_gaps_ms.values()
        return longest_prefill_ms(work, self._usable.values(), gaps_ms, now_ms)

    def _candidates(
        self,
        request,
        work,
        choices,
        in_flight,
        max_prompts_ms,
        now_ms,
        selector=None,
    ):
        """Return a selector with the candidates among the choices."""
        cached_at = self._cached_tokens(request)
        counts = self._failure_counts(now_ms)
        selector = selector or CandidateSelector()
        for item in choices:
            tracked = self._tracked[item.upstream_id]
            cached = cached_at.get(item.upstream_id, 0)
            first_ms = tracked.first_token_ms(work, now_ms, cached)
            connection_ms = connection_saving_ms(request, item.upstream_id)
            saving_ms = cache_saving_ms(tracked, cached) + connection_ms
            is_local = work.failure_domain == tracked.failure_domain
            # The other terms of the cost are not negative.
            if selector.is_dominated(first_ms - saving_ms, is_local, connection_ms):
                continue
            held = in_flight(item.upstream_id)
            risk = risk_ms(work, tracked, held, counts, max_prompts_ms, now_ms)
            cost = cost_ms(work, tracked, first_ms, held, now_ms) + risk - saving_ms
            selector.add(
                PlacementCandidate(
                    item,
                    first_ms,
                    cost,
                    risk,
                    is_local,
                    tracked.slowdown,
                    connection_ms,
                )
            )
        return selector

    def _cached_tokens(self, request):
        """Return how many tokens of a request's prompt each upstream has cached."""
        if len(request.prefix_tokens) != len(request.prefix_hashes):
            return {}
        return self._cache.cached_tokens(request.prefix_hashes, request.prefix_tokens)

    def cached_elsewhere(self, request, upstream_id):
        """Return how many more prompt tokens another upstream holds than this one.

        The answers of these upstreams do not report what they had cached.
        """
        cached_at = self._cached_tokens(request)
        return max(cached_at.values(), default=0) - cached_at.get(upstream_id, 0)

    def _should_wait(self, work, best, max_prompts_ms, ahead, backed_off, now_ms):
        """Return whether a request should wait for an upstream that is full.

        In a burst of long prompts on engines of different speed, the first free slot is
        a slow engine's: the prompt alone takes longer there than its target allows, or
        causes longer token gaps in the answers in progress than declared. A request
        waits only if it would be late or cause such gaps here, and neither elsewhere.
        """
        left_ms = work.first_token_by_ms - now_ms
        here = self._tracked[best.upstream_id]
        if left_ms <= 0:
            return False
        first_ms = here.first_token_ms(work, now_ms)
        is_late = first_ms > left_ms or not here.meets_deadline(work, first_ms, now_ms)
        if not is_late and here.prompts_ms(work) <= max_prompts_ms:
            return False
        within_ms = IN_TIME_FRACTION * left_ms
        slots_per_ms = 0.0
        earliest_ms = None
        for upstream_id, tracked in self._usable.items():
            if upstream_id in backed_off or tracked is here:
                continue
            if not work.allows_region(tracked.region):
                continue
            limit_wait_ms = self.limit_wait_ms(upstream_id, now_ms)
            first_ms = tracked.first_token_within(
                work, within_ms - limit_wait_ms, max_prompts_ms, now_ms
            )
            if first_ms is not None:
                first_ms += limit_wait_ms
                slots_per_ms += self._starts_per_ms(upstream_id, tracked)
                earliest_ms = min(first_ms, earliest_ms or first_ms)
        if not slots_per_ms:
            return False
        wait_ms = (1 + ahead) / slots_per_ms
        return earliest_ms + wait_ms <= within_ms

    def _failure_counts(self, now_ms):
        """Return the decayed counts of failures and answers of all upstreams."""
        failures = answers = 0.0
        for tracked in self._usable.values():
            failed, ended = tracked.failures.counts(now_ms)
            failures += failed
            answers += ended
        return failures, answers

    def on_grant(self, held, now_ms):
        """Record a grant."""
        request = held.request
        if request.max_gap_ms > 0:
            self._max_gaps_ms[request.route] = request.max_gap_ms
        upstream_id = held.grant.upstream_id
        tracked = self._tracked[upstream_id]
        self._speeds.note_factors(held, now_ms)
        self._intake.record_grant(upstream_id, now_ms)
        self._record_tokens(held)
        cached = self._cached_tokens(request).get(upstream_id, 0)
        tracked.on_grant(held, self._pace.work(request), now_ms, cached)
        if len(request.prefix_tokens) == len(request.prefix_hashes):
            self._cache.record(
                upstream_id, request.prefix_hashes, request.prefix_tokens
            )

    def _record_tokens(self, held):
        request, grant = held.request, held.grant
        tokens = request.prompt_tokens + request.output_tokens
        self._engine_memory.record_begin(grant.upstream_id, grant.grant_id, tokens)

    def on_first_token(self, held, first_token_ms, now_ms):
        """Update the pace from a first token reported before the answer ends."""
        tracked = self._tracked.get(held.grant.upstream_id)
        if tracked is None or held.first_token_reported:
            return
        held.first_token_reported = True
        self._speeds.note_factors(held, now_ms)
        tracked.on_prompt_done(held, now_ms)
        tracked.breaker.on_reachable()
        self._clear_suspended(held.grant.upstream_id, now_ms)
        is_uncached = held.pending_tokens == held.request.prompt_tokens
        if held.prompt_wait_ms <= 0 and is_uncached:
            # The cached part of a prompt is only presumed, so that the first token of a
            # prompt with one gives no estimate of an engine's pace.
            may_jump = not self._speeds.has_reported(held.grant.upstream_id)
            add_first_token_sample(tracked, held, first_token_ms, may_jump)

    def on_outcome(self, held, outcome, hold_ms, predicted_ms, now_ms):
        """Update pace, failures and reachability from a released grant."""
        upstream_id = held.grant.upstream_id
        tracked = self._tracked.get(upstream_id)
        if tracked is None:
            return
        tracked.on_prompt_done(held, now_ms)
        is_abandoned = outcome.kind in _ABANDONED
        self._engine_memory.record_end(
            upstream_id, held.grant.grant_id, is_abandoned, now_ms
        )
        if outcome.kind in _UNSENT:
            self._intake.limits.record_unsent(upstream_id)
        if is_abandoned:
            self._intake.brittle.record_abandoned(upstream_id, tracked.hold_ms, now_ms)
        if outcome.kind in _CONNECT_FAILURES:
            tracked.breaker.on_failure(now_ms)
            self._suspended[upstream_id] = True
        elif outcome.kind in _FAILURES:
            tracked.failures.observe(True, now_ms)
            if outcome.is_not_run:
                self._on_rejection(upstream_id, tracked, now_ms)
        elif outcome.kind is OutcomeKind.SUCCESS:
            self._speeds.note_factors(held, now_ms)
            slowdown = add_answer_sample(tracked, held, outcome)
            tracked.on_success(hold_ms, slowdown, now_ms)
            tracked.observe_hold_ratio(hold_ms / max(1.0, predicted_ms))
            self._clear_suspended(upstream_id, now_ms)
        elif outcome.is_overtaken and held.prompt_wait_ms <= 0:
            whole_ms = tracked.whole_ms(predicted_ms)
            if held.request.is_stream or outcome.total_ms > whole_ms:
                add_overtaken_sample(tracked, held, outcome.total_ms)

    def on_reachable(self, upstream_id, now_ms):
        """Record that an upstream can be reached, though connections to it failed.

        It was not out of reach of other hosts, so it is no colder than before.
        """
        tracked = self._tracked.get(upstream_id)
        if tracked is not None and self._suspended.pop(upstream_id, False):
            tracked.breaker.on_reachable()

    def _clear_suspended(self, upstream_id, now_ms):
        """Remove an upstream from the suspended ones.

        One that was unreachable may have just restarted, so it is assumed to be cold.
        """
        if self._suspended.pop(upstream_id, False):
            self._intake.warmup.assume_cold(upstream_id, now_ms)

    def on_turned_away(self, upstream_id, now_ms):
        """Suspend an upstream that turns requests away, until one succeeds there.

        A single rejection is no reason: an upstream that turns away some requests and
        serves the others is worth more than its rest.
        """
        tracked = self._tracked.get(upstream_id)
        if tracked is not None:
            tracked.rejections += 1
            self._suspend_if_rejecting(upstream_id, tracked, now_ms)

    def _on_rejection(self, upstream_id, tracked, now_ms):
        """Count a request that an upstream turned away without asking for rest.

        Load: a part of the upstreams sheds while the others have room. Their slots are
        free and their refusals quick, so that they would get most first attempts, and
        the limit on retries would be spent on requests that the others could have had.
        """
        tracked.rejections += 1
        others = self._usable.keys() & self._suspended.keys() - {upstream_id}
        suspended = sum(self.is_suspended(other, now_ms) for other in others)
        if suspended + 1 <= MAX_REJECTING_FRACTION * len(self._usable):
            self._suspend_if_rejecting(upstream_id, tracked, now_ms)

    def _suspend_if_rejecting(self, upstream_id, tracked, now_ms):
        if tracked.rejections >= MIN_REJECTIONS:
            tracked.breaker.on_failure(now_ms)
            self._suspended.setdefault(upstream_id, False)

    def forget(self, held, now_ms):
        """Remove a grant whose outcome will not be reported."""
        upstream_id = held.grant.upstream_id
        tracked = self._tracked.get(upstream_id)
        if tracked is not None:
            tracked.on_prompt_done(held, now_ms)
            self._engine_memory.record_end(
                upstream_id, held.grant.grant_id, True, now_ms
            )
            self._intake.brittle.record_abandoned(upstream_id, tracked.hold_ms, now_ms)

    def on_tick(self, now_ms):
        """Update which requests have stalled and which upstreams are cold."""
        for upstream_id, tracked in self._tracked.items():
            tracked.count_stalled(now_ms)
            tracked.set_cold(self._intake.warmup.is_cold(upstream_id, now_ms))
        if self.any_limited:
            # Under limits, the count depends on how long requests hold their slots.
            self._slot_count = ((), 0)
