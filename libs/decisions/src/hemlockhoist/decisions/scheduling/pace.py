"""Speed of each engine, and the cost of requests relative to it."""

# Initial value, until the first answers: a large model on one accelerator.
INITIAL_TOKEN_MS = 4.0
# Costs are relative to the time of a token, so it can't be 0, as the time of a service's
# answer within a millisecond would be.
MIN_TOKEN_MS = 0.1
# Fixed cost of any first token, and cost of a prompt token, both in units of the time
# of one output token. These ratios depend on the model and hardly differ between the
# engines of a pool; the time of an output token is specific to an engine.
INITIAL_BASE_COST = 10.0
INITIAL_PROMPT_TOKEN_COST = 0.0075
# An engine's pace adapts within a few of its answers, so that an engine that turns slow
# is recognised before its next batch; the ratios of the pool adapt slowly.
PACE_EWMA_WEIGHT = 0.4
RATIO_EWMA_WEIGHT = 0.05
# A first token that took this multiple of the expected time changes the pace at once,
# by at most the factor below: the end of the answer gives a better sample, but may be
# seconds away.
SLOW_FIRST_TOKEN_RATIO = 2.0
MAX_FIRST_TOKEN_FACTOR = 1.5
# The cost of a prompt token is estimated from prompts of at least the first length, the
# fixed cost from prompts of at most the second: others hold too little information.
MIN_LONG_PROMPT_TOKENS = 1_500
MAX_SHORT_PROMPT_TOKENS = 800


class Work:
    """The work of a request for an engine, in units of the time of one output token.

    Parameters
    ==========
    request : hemlockhoist.decisions.WorkRequest
    base_cost : float
        Fixed cost of a first token, without that of its prompt.
    prompt_token_cost : float
        Cost of a prompt token.

    Attributes
    ==========
    first_token_cost : float
        Cost of the first token without queueing, and with no part of the prompt cached.
    prompt_token_cost : float
        Cost of a prompt token.
    prompt_tokens, output_tokens : int
    deadline_ms, first_token_by_ms : int
    failure_domain : str
        Of the entry host.
    regions : tuple of str
        Allowed regions of the engine; empty for any.
    """

    __slots__ = (
        "base_cost",
        "deadline_ms",
        "failure_domain",
        "first_token_by_ms",
        "first_token_cost",
        "output_tokens",
        "prompt_token_cost",
        "prompt_tokens",
        "regions",
    )

    def __init__(self, request, base_cost, prompt_token_cost):
        self.base_cost = base_cost
        self.prompt_token_cost = prompt_token_cost
        self.first_token_cost = base_cost + prompt_token_cost * request.prompt_tokens
        self.prompt_tokens = request.prompt_tokens
        self.output_tokens = request.output_tokens
        self.deadline_ms = request.deadline_ms
        self.first_token_by_ms = request.first_token_by_ms
        self.failure_domain = request.failure_domain
        self.regions = request.regions

    def allows_region(self, region):
        """Return whether an engine of a region may serve the request."""
        return not self.regions or region in self.regions


class PoolPace:
    """Cost of requests in a pool, in units of the time of one output token."""

    __slots__ = ("_token_ms", "base_cost", "prompt_token_cost")

    def __init__(self):
        self._token_ms = None
        self.base_cost = INITIAL_BASE_COST
        self.prompt_token_cost = INITIAL_PROMPT_TOKEN_COST

    @property
    def token_ms(self):
        """The time of an output token on an engine that has no samples yet."""
        return INITIAL_TOKEN_MS if self._token_ms is None else self._token_ms

    def work(self, request):
        """Return the ``Work`` of a request."""
        return Work(request, self.base_cost, self.prompt_token_cost)

    def hold_ms(self, request):
        """Return how long a request holds a slot of an engine of mean pace."""
        tokens = self.base_cost + self.prompt_token_cost * request.prompt_tokens
        return self.token_ms * (tokens + request.output_tokens)

    def observe_token(self, token_ms):
        """Add the time per output token of one answer of any engine."""
        token_ms = max(MIN_TOKEN_MS, token_ms)
        if self._token_ms is None:
            self._token_ms = token_ms
        self._token_ms += RATIO_EWMA_WEIGHT * (token_ms - self._token_ms)

    def observe_first_token(self, prompt_tokens, first_token_cost):
        """Update the costs from a first token without queueing.

        Parameters
        ==========
        prompt_tokens : int
        first_token_cost : float
            Time to first token, in units of the engine's time per output token.
        """
        if prompt_tokens >= MIN_LONG_PROMPT_TOKENS:
            sample = max(0.0, first_token_cost - self.base_cost) / prompt_tokens
            self.prompt_token_cost += RATIO_EWMA_WEIGHT * (
                sample - self.prompt_token_cost
            )
        elif prompt_tokens <= MAX_SHORT_PROMPT_TOKENS:
            sample = max(0.0, first_token_cost - prompt_tokens * self.prompt_token_cost)
            self.base_cost += RATIO_EWMA_WEIGHT * (sample - self.base_cost)


class EnginePace:
    """Speed of one engine.

    Parameters
    ==========
    pool : PoolPace
    token_ms : float or None, optional
        Initial value, if known.
    updates_pool : bool, optional
        Whether its answers also update the costs of the pool.

    Examples
    ========
    >>> from hemlockhoist.decisions.scheduling.pace import EnginePace, PoolPace
    >>> pool = PoolPace()
    >>> fast, slow = EnginePace(pool), EnginePace(pool)
    >>> for _ in range(10):
    ...     fast.observe_token(2.0)
    ...     slow.observe_token(8.0)
    >>> round(slow.prompt_ms(1_000) / fast.prompt_ms(1_000))
    4
    """

    __slots__ = ("_pool", "_token_ms", "_updates_pool")

    def __init__(self, pool, token_ms=None, updates_pool=True):
        self._pool = pool
        self._updates_pool = updates_pool
        self._token_ms = token_ms

    def cold_copy(self):
        """Return a copy of the pace for the time in which the engine warms up.

        The copy does not update the pool: otherwise restarted, cold engines would make
        all engines of their pool appear as slow as they are.
        """
        return EnginePace(self._pool, self._token_ms, updates_pool=False)

    @property
    def token_ms(self):
        """The time per output token."""
        return self._pool.token_ms if self._token_ms is None else self._token_ms

    def observe_token(self, token_ms):
        """Add the time per output token of one of the engine's answers."""
        token_ms = max(MIN_TOKEN_MS, token_ms)
        if self._updates_pool:
            self._pool.observe_token(token_ms)
        if self._token_ms is None:
            self._token_ms = token_ms
        self._token_ms += PACE_EWMA_WEIGHT * (token_ms - self._token_ms)

    def observe_service_call(self, total_ms):
        """Add the total time of an answer of a plain service, which has no tokens."""
        self._pool.base_cost = 1.0
        self.observe_token(total_ms)

    def observe_first_token(self, prompt_tokens, first_ms, may_jump=True):
        """Add the time to a first token without queueing.

        Parameters
        ==========
        prompt_tokens : int
        first_ms : float
        may_jump : bool, optional
            Whether a first token that took far too long changes the pace at once. An
            upstream that reports its slowdowns states such a change itself.
        """
        expected_ms = self.prompt_ms(prompt_tokens) + self.base_ms()
        ratio = first_ms / max(1.0, expected_ms)
        if self._token_ms is not None and ratio > SLOW_FIRST_TOKEN_RATIO:
            if may_jump:
                self._token_ms *= min(MAX_FIRST_TOKEN_FACTOR, ratio)
            return
        if self._updates_pool:
            self._pool.observe_first_token(prompt_tokens, first_ms / self.token_ms)

    def observe_overtaken(self, prompt_tokens, elapsed_ms):
        """Add the time for which an answer had not begun when it was cancelled.

        It is a lower bound, so it counts only if it is longer than expected. Without
        it, an upstream whose slow answers are all overtaken would keep its pace.
        """
        expected_ms = self.prompt_ms(prompt_tokens) + self.base_ms()
        if self._token_ms is None or elapsed_ms <= expected_ms:
            return
        if not prompt_tokens:
            self.observe_service_call(elapsed_ms)
        elif elapsed_ms > SLOW_FIRST_TOKEN_RATIO * expected_ms:
            self.observe_first_token(prompt_tokens, elapsed_ms)

    def prompt_ms(self, prompt_tokens):
        """Return the prefill time of a prompt."""
        return self.token_ms * self._pool.prompt_token_cost * prompt_tokens

    def base_ms(self):
        """Return the fixed part of the time to first token, without prefill."""
        return self.token_ms * self._pool.base_cost

    def decode_ms(self, output_tokens):
        """Return the decoding time of an answer."""
        return self.token_ms * output_tokens


class SlowedPace:
    """Speed of an engine that reports that it is now slower or faster than usual.

    Samples are added to the usual pace, as of the usual speed.

    Parameters
    ==========
    usual : EnginePace
    factor : float
        Present processing time as a multiple of the usual one.

    Examples
    ========
    >>> from hemlockhoist.decisions.scheduling.pace import (
    ...     EnginePace, PoolPace, SlowedPace
    ... )
    >>> usual = EnginePace(PoolPace(), token_ms=4.0)
    >>> SlowedPace(usual, 2.5).token_ms
    10.0
    """

    __slots__ = ("factor", "usual")

    def __init__(self, usual, factor):
        self.usual = usual
        self.factor = factor

    @property
    def token_ms(self):
        """The present time per output token."""
        return self.usual.token_ms * self.factor

    def prompt_ms(self, prompt_tokens):
        """Return the present prefill time of a prompt."""
        return self.usual.prompt_ms(prompt_tokens) * self.factor

    def base_ms(self):
        """Return the fixed part of the time to first token at the present speed."""
        return self.usual.base_ms() * self.factor

    def decode_ms(self, output_tokens):
        """Return the decoding time of an answer at the present speed."""
        return self.usual.decode_ms(output_tokens) * self.factor
