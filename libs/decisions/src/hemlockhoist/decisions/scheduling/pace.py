"""How fast each engine is, and what the pool's work costs in its time."""

# Start values until the first answers: a large model on one accelerator.
INITIAL_TOKEN_MS = 4.0
# What every request takes to its first token, and what a prompt token takes, both in
# units of the time of one output token. The ratios are the model's and hardly differ
# between engines of one pool; the time of a token is the engine's own.
INITIAL_BASE_COST = 10.0
INITIAL_PROMPT_TOKEN_COST = 0.0075
# An engine's pace follows its own answers within a few, so that one that turns slow is
# known before its next batch; the pool's ratios follow slowly.
PACE_EWMA_WEIGHT = 0.4
RATIO_EWMA_WEIGHT = 0.05
# A first token that took this many times the expected time moves the pace at once, by
# at most this factor: the end of the answer, which tells it well, may be seconds off.
SLOW_FIRST_TOKEN_RATIO = 2.0
MAX_FIRST_TOKEN_FACTOR = 1.5
# A prompt of fewer tokens says too little of what a token costs, one of more too
# little of what every request costs.
MIN_LONG_PROMPT_TOKENS = 1_500
MAX_SHORT_PROMPT_TOKENS = 800


class Work:
    """What a request asks of an engine, in output tokens of the engine's time.

    Parameters
    ==========
    request : hemlockhoist.decisions.WorkRequest
    base_cost : float
        What every first token takes beside its prompt.
    prompt_token_cost : float
        What a prompt token takes.

    Attributes
    ==========
    first_token_cost : float
        To the first token of an answer that waits for nothing, of which nothing is kept.
    prompt_token_cost : float
        What a prompt token takes.
    prompt_tokens, output_tokens : int
    deadline_ms, first_token_by_ms : int
    failure_domain : str
        Of the entry host.
    regions : tuple of str
        Where the engine has to be; empty for anywhere.
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
        """Return whether an engine of a region may have the request."""
        return not self.regions or region in self.regions


class PoolPace:
    """What requests cost on any engine of a pool, in output tokens of its time."""

    __slots__ = ("_token_ms", "base_cost", "prompt_token_cost")

    def __init__(self):
        self._token_ms = None
        self.base_cost = INITIAL_BASE_COST
        self.prompt_token_cost = INITIAL_PROMPT_TOKEN_COST

    @property
    def token_ms(self):
        """The time of a token on an engine of which nothing is known yet."""
        return INITIAL_TOKEN_MS if self._token_ms is None else self._token_ms

    def work(self, request):
        """Return the ``Work`` of a request."""
        return Work(request, self.base_cost, self.prompt_token_cost)

    def hold_ms(self, request):
        """Return for how long a request keeps a place of a usual engine."""
        tokens = self.base_cost + self.prompt_token_cost * request.prompt_tokens
        return self.token_ms * (tokens + request.output_tokens)

    def observe_token(self, token_ms):
        """Take the time of a token of one answer, of any engine."""
        if self._token_ms is None:
            self._token_ms = token_ms
        self._token_ms += RATIO_EWMA_WEIGHT * (token_ms - self._token_ms)

    def observe_first_token(self, prompt_tokens, first_token_cost):
        """Take the time to a first token that waited for nothing.

        Parameters
        ==========
        prompt_tokens : int
        first_token_cost : float
            The time, in output tokens of the engine's.
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
    """How fast one engine is.

    Parameters
    ==========
    pool : PoolPace
    token_ms : float or None, optional
        Of the engine, where that is known.
    updates_pool : bool, optional
        Whether its answers say anything of the pool's other engines.

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

    __slots__ = ("_pool", "_updates_pool", "_token_ms")

    def __init__(self, pool, token_ms=None, updates_pool=True):
        self._pool = pool
        self._updates_pool = updates_pool
        self._token_ms = token_ms

    def cold_copy(self):
        """Return the pace of the same engine while it warms up.

        Failure: engines come back cold, and all engines of their pool are taken to be
        as slow as they are for a while.
        """
        return EnginePace(self._pool, self._token_ms, updates_pool=False)

    @property
    def token_ms(self):
        """The time of one output token."""
        return self._pool.token_ms if self._token_ms is None else self._token_ms

    def observe_token(self, token_ms):
        """Take the time of a token of one of its answers."""
        if self._updates_pool:
            self._pool.observe_token(token_ms)
        if self._token_ms is None:
            self._token_ms = token_ms
        self._token_ms += PACE_EWMA_WEIGHT * (token_ms - self._token_ms)

    def observe_service_call(self, total_ms):
        """Take the time of an answer without tokens, of a plain service."""
        self._pool.base_cost = 1.0
        self.observe_token(total_ms)

    def observe_first_token(self, prompt_tokens, first_ms):
        """Take the time to a first token that waited for nothing."""
        expected_ms = self.prompt_ms(prompt_tokens) + self.base_ms()
        ratio = first_ms / max(1.0, expected_ms)
        if self._token_ms is not None and ratio > SLOW_FIRST_TOKEN_RATIO:
            self._token_ms *= min(MAX_FIRST_TOKEN_FACTOR, ratio)
            return
        if self._updates_pool:
            self._pool.observe_first_token(prompt_tokens, first_ms / self.token_ms)

    def prompt_ms(self, prompt_tokens):
        """Return how long a prompt keeps the engine busy."""
        return self.token_ms * self._pool.prompt_token_cost * prompt_tokens

    def base_ms(self):
        """Return what every request's first token takes beside its prompt."""
        return self.token_ms * self._pool.base_cost

    def decode_ms(self, output_tokens):
        """Return how long an answer's tokens take."""
        return self.token_ms * output_tokens
