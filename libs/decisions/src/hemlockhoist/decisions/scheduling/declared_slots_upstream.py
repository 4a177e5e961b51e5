"""State of one upstream that declares its slots, as known to a home."""

from hemlockhoist.decisions.scheduling.limits import DeclaredLimit
from hemlockhoist.decisions.scheduling.pace import EnginePace, SlowedPace
from hemlockhoist.decisions.scheduling.reliability import CircuitBreaker, FailureRate

# A request counts as stalled when its first token is overdue by the allowance plus this
# multiple of the base time to first token.
STALLED_FACTOR = 3.0
STALLED_ALLOWANCE_MS = 300.0
# Factor on the estimated length of an answer: an upstream is too slow for a request if
# an answer of that length would not end by the deadline.
LENGTH_MARGIN = 1.5
# Initial value, until the first answer of an upstream has ended.
INITIAL_HOLD_MS = 500.0
HOLD_EWMA_WEIGHT = 0.1


class DeclaredSlotsUpstream:
    """Pace, reachability, failures and pending prompts of one upstream.

    Parameters
    ==========
    upstream : hemlockhoist.decisions.Upstream
    pool_pace : PoolPace
    """

    __slots__ = (
        "breaker",
        "failure_domain",
        "failures",
        "hold_ms",
        "hold_ratio",
        "limit",
        "pace",
        "pending",
        "pending_tokens",
        "prompts_done_ms",
        "region",
        "rejections",
        "slowdown",
        "stalled",
        "started_unix_ms",
        "usual_hold_ms",
        "usual_pace",
        "warm_pace",
    )

    def __init__(self, upstream, pool_pace):
        self.failure_domain = upstream.failure_domain
        self.region = upstream.region
        self.started_unix_ms = upstream.started_unix_ms
        self.limit = DeclaredLimit(upstream.slot_count)
        # The learned pace of the machine at its usual speed, and that at its present one.
        self.usual_pace = self.pace = EnginePace(pool_pace)
        self.slowdown = 1.0
        # The pace of the warm upstream, kept while it is cold.
        self.warm_pace = None
        self.breaker = CircuitBreaker()
        self.failures = FailureRate()
        # Requests that it turned away since its last success.
        self.rejections = 0
        self.prompts_done_ms = 0.0
        # How long requests hold a slot at the usual and at the present speed.
        self.usual_hold_ms = self.hold_ms = INITIAL_HOLD_MS
        # Holding times as a multiple of those predicted for the pool; None before the
        # first answer.
        self.hold_ratio = None
        # Prompts without a first token, by grant id: tokens, expected first token time.
        self.pending = {}
        self.pending_tokens = 0
        self.stalled = 0

    def set_cold(self, is_cold):
        """Switch between the paces of the cold and the warm upstream."""
        if is_cold and self.warm_pace is None:
            self.warm_pace = self.usual_pace
            self.usual_pace = self.warm_pace.cold_copy()
            self._set_pace()
        elif not is_cold and self.warm_pace is not None:
            self.usual_pace, self.warm_pace = self.warm_pace, None
            self._set_pace()

    def set_slowdown(self, factor, now_ms):
        """Set the present processing time as a multiple of the usual one.

        The pending prompts are computed at the present speed from now on.
        """
        changed = factor / self.slowdown
        self.slowdown = factor
        self.hold_ms = self.usual_hold_ms * factor
        left_ms = self.prompts_done_ms - now_ms
        if left_ms > 0:
            self.prompts_done_ms = now_ms + left_ms * changed
        self._set_pace()

    def _set_pace(self):
        usual, factor = self.usual_pace, self.slowdown
        self.pace = usual if factor == 1.0 else SlowedPace(usual, factor)

    def allows_request(self, now_ms):
        """Return whether the upstream may take a request, apart from free slots."""
        return self.breaker.allows_request(now_ms, len(self.pending))

    def prompts_ms(self, work, cached=0):
        """Return how long the pending prompts and a request's keep the engine busy."""
        return self.pace.prompt_ms(self.pending_tokens + work.prompt_tokens - cached)

    def first_token_ms(self, work, now_ms, cached=0):
        """Return the expected time to first token of a request at this upstream.

        Parameters
        ==========
        work : hemlockhoist.decisions.scheduling.pace.Work
        now_ms : int
        cached : int, optional
            Number of its prompt tokens that are cached here.
        """
        wait_ms = self.prompts_done_ms - now_ms
        first_token_cost = work.first_token_cost - work.prompt_token_cost * cached
        first_ms = self.pace.token_ms * first_token_cost
        return wait_ms + first_ms if wait_ms > 0 else first_ms

    def meets_deadline(self, work, first_token_ms, now_ms):
        """Return whether the whole answer is expected before the deadline."""
        decode_ms = LENGTH_MARGIN * self.pace.token_ms * work.output_tokens
        return now_ms + first_token_ms + decode_ms <= work.deadline_ms

    def first_token_within(self, work, within_ms, max_prompts_ms, now_ms):
        """Return the expected time to first token of a request, or None.

        Hot path: called for all upstreams, for each request that may wait for one.

        Parameters
        ==========
        work : hemlockhoist.decisions.scheduling.pace.Work
        within_ms : float
            Bound on the time to first token.
        max_prompts_ms : float
            Bound on the time for which prompts keep the engine busy.
        now_ms : int

        Returns
        =======
        float or None
            None if a bound is exceeded, the answer would not end by the deadline, or
            the upstream takes no request.
        """
        first_ms = self.first_token_ms(work, now_ms)
        if first_ms > within_ms or self.prompts_ms(work) > max_prompts_ms:
            return None
        if not self.allows_request(now_ms) or not self.meets_deadline(
            work, first_ms, now_ms
        ):
            return None
        return first_ms

    def on_grant(self, held, work, now_ms, cached=0):
        """Add the uncached part of a granted prompt to the pending prompts."""
        held.prompt_wait_ms = max(0.0, self.prompts_done_ms - now_ms)
        due_ms = now_ms + self.first_token_ms(work, now_ms, cached)
        self.prompts_done_ms = due_ms - self.pace.base_ms()
        held.pending_tokens = work.prompt_tokens - cached
        self.pending[held.grant.grant_id] = (held.pending_tokens, due_ms)
        self.pending_tokens += held.pending_tokens

    def on_prompt_done(self, held, now_ms):
        """Remove a prompt from the pending ones, after first token or release.

        The prompts still pending bound the expected time at which all are done, so that
        a wrong estimate keeps the upstream idle no longer than one prompt takes.
        """
        entry = self.pending.pop(held.grant.grant_id, None)
        if entry is None:
            return
        self.pending_tokens -= entry[0]
        remaining_ms = self.pace.prompt_ms(self.pending_tokens)
        self.prompts_done_ms = min(self.prompts_done_ms, now_ms + remaining_ms)

    def on_success(self, hold_ms, slowdown, now_ms):
        """Record a complete answer and how long it held its slot.

        Parameters
        ==========
        hold_ms : int
        slowdown : float
            Processing time in that time, as a multiple of the usual one.
        now_ms : int
        """
        self.rejections = 0
        self.breaker.on_reachable()
        self.failures.observe(False, now_ms)
        usual_ms = hold_ms / slowdown
        self.usual_hold_ms += HOLD_EWMA_WEIGHT * (usual_ms - self.usual_hold_ms)
        self.hold_ms = self.usual_hold_ms * self.slowdown

    def observe_hold_ratio(self, ratio):
        """Add how long an answer held its slot, as a multiple of the predicted time."""
        if self.hold_ratio is None:
            self.hold_ratio = ratio
        self.hold_ratio += HOLD_EWMA_WEIGHT * (ratio - self.hold_ratio)

    def whole_ms(self, predicted_ms):
        """Return the usual time of a whole answer here.

        The pace does not give it: answers that are no streams report no output tokens,
        so that their whole time counts as that of one token.

        Parameters
        ==========
        predicted_ms : float
            As predicted for the pool.
        """
        return predicted_ms * max(1.0, self.hold_ratio or 1.0)

    def count_stalled(self, now_ms):
        """Count the requests whose first token is long overdue."""
        if not self.pending:
            self.stalled = 0
            return
        allowance_ms = STALLED_ALLOWANCE_MS + STALLED_FACTOR * self.pace.base_ms()
        before_ms = now_ms - allowance_ms
        self.stalled = sum(due_ms < before_ms for _, due_ms in self.pending.values())
