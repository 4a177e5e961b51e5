"""Upstreams without declared slots: limits, health and speed from grant outcomes."""

from hemlockhoist.decisions.scheduling.candidates import PlacementCandidate
from hemlockhoist.decisions.scheduling.ejection import (
    RECOVERED_RATIO,
    SLOW_RATIO,
    Health,
    HealthState,
    exceeds_ejection_bound,
    may_eject,
    reference_slowness,
)
from hemlockhoist.decisions.scheduling.limits import (
    FirstTokenBaseline,
    new_limit,
)
from hemlockhoist.decisions.scheduling.placement import INITIAL_TOKEN_MS, Speed, score
from hemlockhoist.decisions.scheduling.prefixes import PrefixMap
from hemlockhoist.decisions.scheduling.queued_request import short_first_ms
from hemlockhoist.decisions.scheduling.recovery import RECOVERY_MS
from hemlockhoist.decisions.scheduling.upstream_tracker import UpstreamTracker
from hemlockhoist.decisions.work import OutcomeKind

# Median ratio of holding time to prediction above which the grants in flight eject an
# upstream: one that hangs produces no outcomes to learn from.
OVERDUE_RATIO = 4.0
# Minimum number of grants in flight for which an upstream is ejected as overdue.
MIN_OVERDUE = 3

# Shorter answers give no usable time per output token.
MIN_OUTPUT_TOKENS = 8
POOL_EWMA_WEIGHT = 0.05
INITIAL_HOLD_MS = 2_000.0
# Bound on the pending prompt time of an upstream. An engine computes prompts in order
# of arrival: a short request of the highest tier would wait for its first token behind
# long prompts, whatever their tiers. The bound exceeds two ticks, so that an engine
# does not run out of prompts between them.
MAX_PROMPT_WAIT_MS = 250.0

_FAILURES = frozenset(
    {
        OutcomeKind.FAILED,
        OutcomeKind.BROKE_OFF,
        OutcomeKind.TIMEOUT,
        OutcomeKind.CONNECT_FAILED,
    }
)


class AdaptiveUpstream:
    """Limit, health, speed and cached prefixes of one upstream."""

    __slots__ = (
        "failure_domain",
        "generation",
        "health",
        "limit",
        "pending_tokens",
        "prefixes",
        "prompts_done_ms",
        "speed",
    )

    def __init__(self, upstream, max_limit, speed):
        self.generation = upstream.generation
        self.failure_domain = upstream.failure_domain
        self.limit = new_limit(upstream.slot_count, max_limit)
        self.health = Health()
        self.prefixes = PrefixMap()
        self.speed = Speed(speed.token_ms, speed.prompt_token_ms)
        self.pending_tokens = 0
        self.prompts_done_ms = 0.0

    def cached_tokens(self, request):
        """Return how many of a request's prompt tokens are probably cached here."""
        hashes = request.prefix_hashes
        if not hashes:
            return 0
        return request.prompt_tokens * self.prefixes.match(hashes) // len(hashes)

    def first_token_ms(self, request, now_ms):
        """Return the expected time to first token; 0 for a request without tokens."""
        computed = request.prompt_tokens - self.cached_tokens(request)
        wait_ms = max(0.0, self.prompts_done_ms - now_ms)
        return wait_ms + computed * self.speed.prompt_token_ms

    def slots(self, now_ms):
        """Return how many requests the upstream may hold now."""
        return self.health.slots(self.limit.slots, now_ms)

    def on_grant(self, held, now_ms):
        """Add the prompt of a granted request to the pending prompts."""
        request = held.request
        held.prompt_wait_ms = max(0.0, self.prompts_done_ms - now_ms)
        if request.prefix_hashes:
            held.expected_blocks = self.prefixes.match(request.prefix_hashes)
        held.pending_tokens = request.prompt_tokens - self.cached_tokens(request)
        self.pending_tokens += held.pending_tokens
        prompt_ms = held.pending_tokens * self.speed.prompt_token_ms
        self.prompts_done_ms = now_ms + held.prompt_wait_ms + prompt_ms
        self.prefixes.add(request.prefix_hashes)

    def on_prompt_done(self, held, now_ms):
        """Remove a prompt from the pending ones, after first token or release.

        The prompts still pending bound the expected time at which all are done. Where
        first tokens are reported, a wrong speed estimate thus keeps an engine idle no
        longer than one prompt takes.
        """
        self.pending_tokens -= held.pending_tokens
        held.pending_tokens = 0
        remaining_ms = self.pending_tokens * self.speed.prompt_token_ms
        self.prompts_done_ms = min(self.prompts_done_ms, now_ms + remaining_ms)


class AdaptiveTracker(UpstreamTracker):
    """Tracker of upstreams whose concurrency limits are found from latencies.

    Speeds and first token baselines are also kept per hardware generation.

    Parameters
    ==========
    max_limit : int
        The pool's declared upper bound of a limit.
    """

    __slots__ = (
        "_baselines",
        "_hold_ms",
        "_max_limit",
        "_speeds",
        "_token_ms",
        "_tracked",
        "_usable",
    )
    recovery_ms = RECOVERY_MS

    def __init__(self, max_limit):
        self._max_limit = max_limit
        self._tracked = {}
        self._usable = {}
        self._speeds = {}
        self._baselines = {}
        self._token_ms = INITIAL_TOKEN_MS
        self._hold_ms = INITIAL_HOLD_MS

    def set_max_limit(self, max_limit):
        """Set the upper bound of the limits."""
        self._max_limit = max_limit
        for tracked in self._tracked.values():
            tracked.limit.set_max(max_limit)

    def set_listed(self, upstreams, now_ms):
        """Start tracking new upstreams, and forget those that are no longer listed."""
        previous = self._tracked
        self._tracked = {}
        for item in upstreams:
            tracked = previous.get(item.upstream_id) or self._new(item)
            self._tracked[item.upstream_id] = tracked

    def set_usable(self, upstreams, now_ms):
        """Set the upstreams that are not leaving, which the ejection bound counts.

        If one of three upstreams is ejected and the other two begin to leave, the pool
        would have no slot although an upstream is available. So ejected upstreams are
        readmitted until the bound holds; a slow upstream is better than none.
        """
        self._usable = {
            item.upstream_id: self._tracked[item.upstream_id] for item in upstreams
        }
        healths = [tracked.health for tracked in self._usable.values()]
        for health in healths:
            if health.is_ejected and exceeds_ejection_bound(healths):
                health.readmit(now_ms)

    def get(self, upstream_id):
        """Return the ``AdaptiveUpstream`` of a listed upstream, or None."""
        return self._tracked.get(upstream_id)

    def cached_elsewhere(self, request, upstream_id):
        """Return the most prompt tokens that any other upstream probably has cached."""
        others = (
            tracked.cached_tokens(request)
            for other_id, tracked in self._tracked.items()
            if other_id != upstream_id
        )
        return max(others, default=0)

    def slots(self, upstream_id, now_ms):
        """Return how many requests an upstream may hold."""
        return self._tracked[upstream_id].slots(now_ms)

    def suits_hedge(self, upstream_id, now_ms):
        """Return whether a second attempt of a slow request may go to an upstream."""
        return self._tracked[upstream_id].health.state is not HealthState.PROBING

    def usual_first_ms(self, held, estimate):
        """Return the usual time until a listed upstream begins to answer a request."""
        request = held.request
        first_ms = estimate.first_token_ms(request) if request.is_stream else 0.0
        first_ms = first_ms or estimate.hold_ms(request)
        slowness = self._tracked[held.grant.upstream_id].health.slowness
        return held.prompt_wait_ms + max(1.0, slowness) * first_ms

    def accepts_more(self, upstream_id, now_ms):
        """Return whether the pending prompts of an upstream are within their bound."""
        waiting_ms = self._tracked[upstream_id].prompts_done_ms - now_ms
        return waiting_ms < MAX_PROMPT_WAIT_MS

    def hold_ms(self, request):
        """Return None: holding times are not known until the limits are found."""
        return

    def sort_key_ms(self, arrived_ms, cost_ms, due_ms):
        """Return the key by which the requests of one customer are ordered."""
        return short_first_ms(arrived_ms, cost_ms)

    def choose(self, request, choices, in_flight, now_ms, ahead=0, backed_off=()):
        """Return the upstream for a request, or None if only probes are possible.

        A non-idempotent request is never sent as a probe.
        """
        best, best_ms = None, None
        for item in choices:
            tracked = self._tracked[item.upstream_id]
            probing = tracked.health.state is HealthState.PROBING
            if probing and not request.idempotent:
                continue
            if probing:
                # Probes take precedence; a pool with free slots would never probe.
                return item
            held, slots = in_flight(item.upstream_id), tracked.slots(now_ms)
            score_ms = score(request, tracked, held, slots, now_ms)
            if best is None or score_ms < best_ms:
                best, best_ms = item, score_ms
        return best

    def evaluate(self, request, choices, in_flight, now_ms):
        """Return the ``PlacementCandidate`` of each choice."""
        candidates = []
        for item in choices:
            tracked = self._tracked[item.upstream_id]
            held, slots = in_flight(item.upstream_id), tracked.slots(now_ms)
            cost_ms = score(request, tracked, held, slots, now_ms)
            first_ms = tracked.first_token_ms(request, now_ms)
            is_local = request.failure_domain == tracked.failure_domain
            candidates.append(PlacementCandidate(item, first_ms, cost_ms, 0, is_local))
        return candidates

    def drift(self):
        """Move the speed of each upstream towards its generation's."""
        for tracked in self._tracked.values():
            tracked.speed.drift(self._speeds[tracked.generation])

    def on_grant(self, held, now_ms):
        """Record a grant."""
        self._tracked[held.grant.upstream_id].on_grant(held, now_ms)

    def on_outcome(self, held, outcome, hold_ms, predicted_ms, now_ms):
        """Update speed, limit and health from a released grant."""
        tracked = self._tracked.get(held.grant.upstream_id)
        if tracked is None:
            return
        health = tracked.health
        tracked.on_prompt_done(held, now_ms)
        if outcome.kind in _FAILURES:
            health.observe_failure(now_ms)
            health.observe_probe(False, held.granted_ms, now_ms)
        elif outcome.kind is OutcomeKind.SUCCESS:
            self._learn_latency(tracked, held, outcome, now_ms)
            ratio = self._slowness(outcome, hold_ms, predicted_ms)
            health.observe_slowness(ratio, now_ms)
            reference = reference_slowness(health, self._peers(tracked))
            is_good = reference is None or ratio <= RECOVERED_RATIO * reference
            health.observe_probe(is_good, held.granted_ms, now_ms)
            if health.state is HealthState.RAMPING:
                tracked.speed.reset(self._speeds[tracked.generation])
        self._eject_if_due(tracked, now_ms)

    def on_first_token(self, held, first_token_ms, now_ms):
        """Update speed and limit from a first token reported before the answer ends."""
        tracked = self._tracked.get(held.grant.upstream_id)
        if tracked is None or held.first_token_reported:
            return
        held.first_token_reported = True
        tracked.on_prompt_done(held, now_ms)
        request = held.request
        cached = 0
        if request.prefix_hashes:
            blocks = len(request.prefix_hashes)
            cached = request.prompt_tokens * held.expected_blocks // blocks
        computed = request.prompt_tokens - cached
        self._observe_first_token(tracked, held, computed, first_token_ms, now_ms)

    def forget(self, held, now_ms):
        """Remove a grant whose outcome will not be reported."""
        tracked = self._tracked.get(held.grant.upstream_id)
        if tracked is not None:
            tracked.on_prompt_done(held, now_ms)

    def on_overdue(self, upstream_id, grant_count, ratio, now_ms):
        """Eject an upstream whose grants are held far longer than predicted."""
        tracked = self._tracked.get(upstream_id)
        if tracked is None or tracked.health.is_ejected or grant_count < MIN_OVERDUE:
            return
        reference = reference_slowness(tracked.health, self._peers(tracked)) or 1.0
        if ratio > OVERDUE_RATIO * reference and self._may_eject():
            tracked.health.eject(now_ms)

    def _learn_latency(self, tracked, held, outcome, now_ms):
        request = held.request
        tracked.speed.observe_outcome(outcome)
        self._speeds[tracked.generation].observe_outcome(outcome)
        hashes = request.prefix_hashes
        if hashes and request.prompt_tokens:
            # Rounded up, as the prompt's last, partial block has no hash.
            blocks = -(-outcome.cached_tokens * len(hashes) // request.prompt_tokens)
            tracked.prefixes.observe(held.expected_blocks, blocks)
        first_ms = outcome.first_token_ms
        if first_ms < 0 and not outcome.output_tokens:
            # A plain service has no tokens: its total time shows its queueing.
            first_ms = outcome.total_ms
        if first_ms >= 0 and not held.first_token_reported:
            computed = request.prompt_tokens - outcome.cached_tokens
            self._observe_first_token(tracked, held, computed, first_ms, now_ms)

    def _observe_first_token(self, tracked, held, computed, first_token_ms, now_ms):
        prompt_ms = first_token_ms - held.prompt_wait_ms
        tracked.speed.observe_prompt(computed, prompt_ms)
        self._speeds[tracked.generation].observe_prompt(computed, prompt_ms)
        baseline = self._baselines[tracked.generation]
        excess_ms = baseline.congestion(computed, first_token_ms)
        self._hold_ms += POOL_EWMA_WEIGHT * (held.cost_ms - self._hold_ms)
        excess_ratio = excess_ms / max(1.0, self._hold_ms)
        tracked.limit.observe(
            excess_ratio, held.granted_ms, held.in_flight_at_grant, now_ms
        )

    def _slowness(self, outcome, hold_ms, predicted_ms):
        """Return the ratio of an answer's time to the expected time.

        The time between tokens is used if there are enough: the time to first token
        depends on the prompts computed before it, and a short request behind a long
        prompt would make a healthy engine look slow.
        """
        if outcome.output_tokens < MIN_OUTPUT_TOKENS or outcome.first_token_ms < 0:
            return hold_ms / max(1.0, predicted_ms)
        decode_ms = outcome.total_ms - outcome.first_token_ms
        token_ms = decode_ms / (outcome.output_tokens - 1)
        self._token_ms += POOL_EWMA_WEIGHT * (token_ms - self._token_ms)
        return token_ms / max(0.1, self._token_ms)

    def _eject_if_due(self, tracked, now_ms):
        health = tracked.health
        if health.is_ejected or not self._may_eject():
            return
        if health.failed_too_often():
            health.eject(now_ms)
            return
        reference = reference_slowness(health, self._peers(tracked))
        if reference is None or not health.has_enough_samples:
            return
        if health.slowness > SLOW_RATIO * reference:
            health.eject(now_ms)

    def _may_eject(self):
        return may_eject([tracked.health for tracked in self._usable.values()])

    def _peers(self, tracked):
        return [
            item.health
            for item in self._tracked.values()
            if item is not tracked and item.generation == tracked.generation
        ]

    def _new(self, upstream):
        speed = self._speeds.setdefault(upstream.generation, Speed())
        self._baselines.setdefault(upstream.generation, FirstTokenBaseline())
        return AdaptiveUpstream(upstream, self._max_limit, speed)
