"""Predicted cost of a request, learned from the outcomes of earlier ones."""

# A prompt token is computed in parallel with its neighbours, an output token alone:
# on continuous-batching engines the ratio of their costs lies between 1:20 and 1:100.
PROMPT_TOKENS_PER_UNIT = 32
# Before the first outcome. Too low a start only means that the queue's own bound
# refuses for the first second instead of the predicted wait.
INITIAL_MS_PER_UNIT = 5.0
# Weight of one outcome. The fit follows a change of the engine's speed within about
# fifty answers, and a single odd answer moves it by two per cent.
DECAY = 0.98
# Weight of the prior line, in outcomes.
PRIOR_OUTCOMES = 2.0


def work_units(request):
    """Return the predicted work of a request, in output tokens.

    Parameters
    ==========
    request : hemlockhoist.decisions.WorkRequest

    Returns
    =======
    float
        At least 1, which is also the cost of a call of a plain service.
    """
    return 1.0 + request.output_tokens + request.prompt_tokens / PROMPT_TOKENS_PER_UNIT


class LinearEstimate:
    """A least-squares line through the origin's quadrant, with decaying weights.

    Parameters
    ==========
    slope : float
        Of the line that is assumed before there are outcomes.

    Examples
    ========
    >>> from hemlockhoist.decisions.scheduling.estimates import LinearEstimate
    >>> line = LinearEstimate(slope=1.0)
    >>> for x in range(1, 200):
    ...     line.add(x, 10 + 3 * x)
    >>> round(line.predict(100))
    310
    """

    __slots__ = ("_n", "_prior", "_xx", "_xy", "_x", "_y")

    def __init__(self, slope):
        self._prior = slope
        self._n = self._x = self._y = self._xx = self._xy = 0.0

    @property
    def has_samples(self):
        """Whether any outcome was seen."""
        return self._n > 0

    def add(self, x, y):
        """Take one observation."""
        self._n = self._n * DECAY + 1.0
        self._x = self._x * DECAY + x
        self._y = self._y * DECAY + y
        self._xx = self._xx * DECAY + x * x
        self._xy = self._xy * DECAY + x * y

    def predict(self, x):
        """Return the expected value at ``x``, never below 0."""
        if self._n <= 0:
            return self._prior * x
        mean_x = self._x / self._n
        mean_y = self._y / self._n
        spread = self._xx - self._x * mean_x
        if spread <= 1e-6 * max(1.0, self._xx):
            slope = mean_y / mean_x if mean_x > 0 else 0.0
            return max(0.0, slope * x if mean_x > 0 else mean_y)
        slope = max(0.0, (self._xy - self._x * mean_y) / spread)
        # A negative intercept would call short requests free.
        base = max(0.0, mean_y - slope * mean_x)
        if base == 0.0 and mean_x > 0:
            slope = mean_y / mean_x
        return base + slope * x


class ServiceEstimate:
    """Predicts how long a request holds a place and when its first token comes."""

    __slots__ = ("_first_token", "_hold")

    def __init__(self):
        self._hold = LinearEstimate(INITIAL_MS_PER_UNIT)
        self._first_token = LinearEstimate(0.0)

    @property
    def has_samples(self):
        """Whether any outcome was seen."""
        return self._hold.has_samples

    def hold_ms(self, request):
        """Return how long the request is expected to hold a place."""
        return max(1.0, self._hold.predict(work_units(request)))

    def first_token_ms(self, request):
        """Return the expected time from dispatch to first token."""
        return self._first_token.predict(request.prompt_tokens)

    def observe(self, request, hold_ms, first_token_ms):
        """Take the outcome of a request that was answered.

        Parameters
        ==========
        request : hemlockhoist.decisions.WorkRequest
        hold_ms : int
            From grant to release.
        first_token_ms : int
            From dispatch; -1 where it never came.
        """
        self._hold.add(work_units(request), hold_ms)
        if first_token_ms >= 0:
            self._first_token.add(request.prompt_tokens, first_token_ms)
