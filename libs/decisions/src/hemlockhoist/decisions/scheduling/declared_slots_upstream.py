"""What a home knows of one upstream that declares its places."""

from hemlockhoist.decisions.scheduling.limits import DeclaredLimit
from hemlockhoist.decisions.scheduling.pace import EnginePace
from hemlockhoist.decisions.scheduling.reliability import CircuitBreaker, FailureRate

# A request that is this much over its expected first token, and this many times, says
# that its upstream has stalled.
STALLED_FACTOR = 3.0
STALLED_ALLOWANCE_MS = 300.0
# An answer's length is an estimate: an upstream counts as too slow for a request where
# one that is this much longer would not end by the deadline.
LENGTH_MARGIN = 1.5
# Until an upstream's first answer has ended.
INITIAL_HOLD_MS = 500.0
HOLD_EWMA_WEIGHT = 0.1


class DeclaredSlotsUpstream:
    """Pace, reach, failures and pending prompts of one upstream.

    Parameters
    ==========
    upstream : hemlockhoist.decisions.Upstream
    pool_pace : PoolPace
    """

    __slots__ = (
        "failure_domain",
        "failures",
        "hold_ms",
        "limit",
        "pace",
        "pending",
        "pending_tokens",
        "prompts_done_ms",
        "breaker",
        "region",
        "stalled",
        "started_unix_ms",
        "warm_pace",
    )

    def __init__(self, upstream, pool_pace):
        self.failure_domain = upstream.failure_domain
        self.region = upstream.region
        self.started_unix_ms = upstream.started_unix_ms
        self.limit = DeclaredLimit(upstream.slots)
        self.pace = EnginePace(pool_pace)
        # What it is without the coldness, while it is cold.
        self.warm_pace = None
        self.breaker = CircuitBreaker()
        self.failures = FailureRate()
        self.prompts_done_ms = 0.0
        self.hold_ms = INITIAL_HOLD_MS
        # Prompts whose first token has not come, by grant: tokens and when it is due.
        self.pending = {}
        self.pending_tokens = 0
        self.stalled = 0

    def set_cold(self, is_cold):
        """Take notice that it warms up, or is warm; each has a pace of its own."""
        if is_cold and self.warm_pace is None:
            self.warm_pace = self.pace
            self.pace = self.warm_pace.cold_copy()
        elif not is_cold and self.warm_pace is not None:
            self.pace, self.warm_pace = self.warm_pace, None

    def allows_request(self, now_ms):
        """Return whether it may be given a request, places aside."""
        return self.breaker.allows_request(now_ms, len(self.pending))

    def prompts_ms(self, work, kept=0):
        """Return for how long the prompts here and a request's take the engine."""
        return self.pace.prompt_ms(self.pending_tokens + work.prompt_tokens - kept)

    def first_token_ms(self, work, now_ms, kept=0):
        """Return the expected time until a request's first token here.

        Parameters
        ==========
        work : hemlockhoist.decisions.scheduling.pace.Work
        now_ms : int
        kept : int, optional
            Tokens of its prompt that need not be computed here.
        """
        wait_ms = self.prompts_done_ms - now_ms
        first_token_cost = work.first_token_cost - work.prompt_token_cost * kept
        first_ms = self.pace.token_ms * first_token_cost
        return wait_ms + first_ms if wait_ms > 0 else first_ms

    def meets_deadline(self, work, first_token_ms, now_ms):
        """Return whether a whole answer is expected here before the deadline."""
        decode_ms = LENGTH_MARGIN * self.pace.token_ms * work.output_tokens
        return now_ms + first_token_ms + decode_ms <= work.deadline_ms

    def first_token_within(self, work, within_ms, max_prompts_ms, now_ms):
        """Return the expected time until a request's first token here, or None.

        Load: asked of all upstreams for each request that may wait for one of them.

        Parameters
        ==========
        work : hemlockhoist.decisions.scheduling.pace.Work
        within_ms : float
            Until then the first token has to come.
        max_prompts_ms : float
            For how long the prompts here may take the engine.
        now_ms : int

        Returns
        =======
        float or None
            None where it would come later, the engine would be taken for longer, the
            answer would not end by the deadline, or no request may be given here.
        """
        first_ms = self.first_token_ms(work, now_ms)
        if first_ms > within_ms or self.prompts_ms(work) > max_prompts_ms:
            return None
        if not self.allows_request(now_ms) or not self.meets_deadline(
            work, first_ms, now_ms
        ):
            return None
        return first_ms

    def on_grant(self, held, work, now_ms, kept=0):
        """Count a request's prompt, but for what is kept of it."""
        held.prompt_wait_ms = max(0.0, self.prompts_done_ms - now_ms)
        due_ms = now_ms + self.first_token_ms(work, now_ms, kept)
        self.prompts_done_ms = due_ms - self.pace.base_ms()
        held.pending_tokens = work.prompt_tokens - kept
        self.pending[held.grant.grant_id] = (held.pending_tokens, due_ms)
        self.pending_tokens += held.pending_tokens

    def on_prompt_done(self, held, now_ms):
        """Stop counting a prompt: its first token came, or its grant came back.

        What is still pending bounds the expected time: a wrong estimate then keeps the
        upstream idle no longer than one prompt takes.
        """
        entry = self.pending.pop(held.grant.grant_id, None)
        if entry is None:
            return
        self.pending_tokens -= entry[0]
        rest_ms = self.pace.prompt_ms(self.pending_tokens)
        self.prompts_done_ms = min(self.prompts_done_ms, now_ms + rest_ms)

    def on_success(self, hold_ms, now_ms):
        """Take a whole answer, and for how long it held its place."""
        self.breaker.on_reachable()
        self.failures.observe(False, now_ms)
        self.hold_ms += HOLD_EWMA_WEIGHT * (hold_ms - self.hold_ms)

    def count_stalled(self, now_ms):
        """Count the requests that are far over their expected first token."""
        if not self.pending:
            self.stalled = 0
            return
        allowed_ms = STALLED_ALLOWANCE_MS + STALLED_FACTOR * self.pace.base_ms()
        before_ms = now_ms - allowed_ms
        self.stalled = sum(due_ms < before_ms for _, due_ms in self.pending.values())
