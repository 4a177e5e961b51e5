"""How fast each engine is, and what the pool's work costs in its time."""

# Start values until the first answers: a large model on one accelerator.
INITIAL_TOKEN_MS = 4.0
# What every request takes to its first token, and what a prompt token takes, both in
# units of the time of one output token. The ratios are the model's and hardly differ
# between engines of one pool; the time of a token is the engine's own.
INITIAL_BASE_TOKENS = 10.0
INITIAL_PROMPT_TOKENS = 0.0075
# An engine's pace follows its own answers within a few, so that one that turns slow is
# known before its next batch; the pool's ratios follow slowly.
PACE_WEIGHT = 0.4
RATIO_WEIGHT = 0.05
# A first token that took this many times the expected time moves the pace at once, by
# at most this factor: the end of the answer, which tells it well, may be seconds off.
SLOW_FIRST_RATIO = 2.0
MAX_FIRST_FACTOR = 1.5
# A prompt of fewer tokens says too little of what a token costs, one of more too
# little of what every request costs.
LONG_PROMPT = 1_500
SHORT_PROMPT = 800


class Work:
    """What a request asks of an engine, in output tokens of the engine's time.

    Parameters
    ==========
    request : hemlockhoist.decisions.WorkRequest
    base_tokens : float
        What every first token takes beside its prompt.
    prompt_part : float
        What a prompt token takes.

    Attributes
    ==========
    first_tokens : float
        To the first token of an answer that waits for nothing, of which nothing is kept.
    prompt_part : float
        What a prompt token takes.
    prompt_tokens, output_tokens : int
    deadline_ms, first_token_by_ms : int
    failure_domain : str
        Of the entry host.
    regions : tuple of str
        Where the engine has to be; empty for anywhere.
    """

    __slots__ = (
        "base_tokens",
        "deadline_ms",
        "failure_domain",
        "first_token_by_ms",
        "first_tokens",
        "output_tokens",
        "prompt_part",
        "prompt_tokens",
        "regions",
    )

    def __init__(self, request, base_tokens, prompt_part):
        self.base_tokens = base_tokens
        self.prompt_part = prompt_part
        self.first_tokens = base_tokens + prompt_part * request.prompt_tokens
        self.prompt_tokens = request.prompt_tokens
        self.output_tokens = request.output_tokens
        self.deadline_ms = request.deadline_ms
        self.first_token_by_ms = request.first_token_by_ms
        self.failure_domain = request.failure_domain
        self.regions = request.regions

    def may_go_to(self, region):
        """Return whether an engine of a region may have the request."""
        return not self.regions or region in self.regions


class PoolPace:
    """What requests cost on any engine of a pool, in output tokens of its time."""

    __slots__ = ("_token_ms", "base_tokens", "prompt_tokens")

    def __init__(self):
        self._token_ms = None
        self.base_tokens = INITIAL_BASE_TOKENS
        self.prompt_tokens = INITIAL_PROMPT_TOKENS

    @property
    def token_ms(self):
        """The time of a token on an engine of which nothing is known yet."""
        return INITIAL_TOKEN_MS if self._token_ms is None else self._token_ms

    def work(self, request):
        """Return the ``Work`` of a request."""
        return Work(request, self.base_tokens, self.prompt_tokens)

    def hold_ms(self, request):
        """Return for how long a request keeps a place of a usual engine."""
        tokens = self.base_tokens + self.prompt_tokens * request.prompt_tokens
        return self.token_ms * (tokens + request.output_tokens)

    def observe_token(self, token_ms):
        """Take the time of a token of one answer, of any engine."""
        if self._token_ms is None:
            self._token_ms = token_ms
        self._token_ms += RATIO_WEIGHT * (token_ms - self._token_ms)

    def observe_first(self, prompt_tokens, first_tokens):
        """Take the time to a first token that waited for nothing.

        Parameters
        ==========
        prompt_tokens : int
        first_tokens : float
            The time, in output tokens of the engine's.
        """
        if prompt_tokens >= LONG_PROMPT:
            sample = max(0.0, first_tokens - self.base_tokens) / prompt_tokens
            self.prompt_tokens += RATIO_WEIGHT * (sample - self.prompt_tokens)
        elif prompt_tokens <= SHORT_PROMPT:
            sample = max(0.0, first_tokens - prompt_tokens * self.prompt_tokens)
            self.base_tokens += RATIO_WEIGHT * (sample - self.base_tokens)


class EnginePace:
    """How fast one engine is.

    Parameters
    ==========
    pool : PoolPace
    token_ms : float or None, optional
        Of the engine, where that is known.
    teaches : bool, optional
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

    __slots__ = ("_pool", "_teaches", "_token_ms")

    def __init__(self, pool, token_ms=None, teaches=True):
        self._pool = pool
        self._teaches = teaches
        self._token_ms = token_ms

    def cold(self):
        """Return the pace of the same engine while it warms up.

        Failure: engines come back cold, and all engines of their pool are taken to be
        as slow as they are for a while.
        """
        return EnginePace(self._pool, self._token_ms, teaches=False)

    @property
    def token_ms(self):
        """The time of one output token."""
        return self._pool.token_ms if self._token_ms is None else self._token_ms

    def observe_token(self, token_ms):
        """Take the time of a token of one of its answers."""
        if self._teaches:
            self._pool.observe_token(token_ms)
        if self._token_ms is None:
            self._token_ms = token_ms
        self._token_ms += PACE_WEIGHT * (token_ms - self._token_ms)

    def observe_whole(self, total_ms):
        """Take the time of an answer without tokens, of a plain service."""
        self._pool.base_tokens = 1.0
        self.observe_token(total_ms)

    def observe_first(self, prompt_tokens, first_ms):
        """Take the time to a first token that waited for nothing."""
        expected_ms = self.prompt_ms(prompt_tokens) + self.base_ms()
        ratio = first_ms / max(1.0, expected_ms)
        if self._token_ms is not None and ratio > SLOW_FIRST_RATIO:
            self._token_ms *= min(MAX_FIRST_FACTOR, ratio)
            return
        if self._teaches:
            self._pool.observe_first(prompt_tokens, first_ms / self.token_ms)

    def prompt_ms(self, prompt_tokens):
        """Return how long a prompt keeps the engine busy."""
        return self.token_ms * self._pool.prompt_tokens * prompt_tokens

    def base_ms(self):
        """Return what every request's first token takes beside its prompt."""
        return self.token_ms * self._pool.base_tokens

    def decode_ms(self, output_tokens):
        """Return how long an answer's tokens take."""
        return self.token_ms * output_tokens
