"""Predicted cost of a request, fitted to the outcomes of earlier requests."""

# Prompt tokens are computed in parallel, output tokens one by one: on
# continuous-batching engines the ratio of their costs is between 1:20 and 1:100.
PROMPT_TOKENS_PER_UNIT = 32
# Used before the first outcome. If it is too low, requests of the first second are
# refused by the bound on queue length instead of by their predicted wait.
INITIAL_MS_PER_UNIT = 5.0
# Factor by which earlier outcomes decay with each new one. The fit follows a change of
# engine speed within about fifty answers, and one outlier moves it by two per cent.
DECAY = 0.98
# Weight of the prior line, in number of outcomes.
PRIOR_OUTCOMES = 2.0


def work_units(request):
    """Return the predicted work of a request, in units of one output token.

    Parameters
    ==========
    request : hemlockhoist.decisions.WorkRequest

    Returns
    =======
    float
        At least 1, which is the cost of a call to a plain service.
    """
    return 1.0 + request.output_tokens + request.prompt_tokens / PROMPT_TOKENS_PER_UNIT


class LinearEstimate:
    """A least-squares line with decaying weights, non-negative slope and intercept.

    Parameters
    ==========
    slope : float
        Slope of the line through the origin that is used before the first observation.

    Examples
    ========
    >>> from hemlockhoist.decisions.scheduling.estimates import LinearEstimate
    >>> line = LinearEstimate(slope=1.0)
    >>> for x in range(1, 200):
    ...     line.add(x, 10 + 3 * x)
    >>> round(line.predict(100))
    310
    """

    __slots__ = ("_n", "_prior", "_x", "_xx", "_xy", "_y")

    def __init__(self, slope):
        self._prior = slope
        self._n = self._x = self._y = self._xx = self._xy = 0.0

    @property
    def has_samples(self):
        """Whether there is any observation."""
        return self._n > 0

    def add(self, x, y):
        """Add one observation."""
        self._n = self._n * DECAY + 1.0
        self._x = self._x * DECAY + x
        self._y = self._y * DECAY + y
        self._xx = self._xx * DECAY + x * x
        self._xy = self._xy * DECAY + x * y

    def predict(self, x):
        """Return the expected value at ``x``, at least 0."""
        if self._n <= 0:
            return self._prior * x
        mean_x = self._x / self._n
        mean_y = self._y / self._n
        spread = self._xx - self._x * mean_x
        if spread <= 1e-6 * max(1.0, self._xx):
            slope = mean_y / mean_x if mean_x > 0 else 0.0
            return max(0.0, slope * x if mean_x > 0 else mean_y)
        slope = max(0.0, (self._xy - self._x * mean_y) / spread)
        # A negative intercept would predict no cost for short requests.
        base = max(0.0, mean_y - slope * mean_x)
        if base == 0.0 and mean_x > 0:
            slope = mean_y / mean_x
        return base + slope * x


class ServiceEstimate:
    """Predicts how long a request holds a slot and its time to first token.

    Attributes
    ==========
    slowdown : float
        Present processing time of the pool as a multiple of the usual one; 1.0 without
        reports. Outcomes are learned as at the usual speed.
    """

    __slots__ = ("_first_token", "_hold", "slowdown")

    def __init__(self):
        self._hold = LinearEstimate(INITIAL_MS_PER_UNIT)
        self._first_token = LinearEstimate(0.0)
        self.slowdown = 1.0

    @property
    def has_samples(self):
        """Whether any outcome was observed."""
        return self._hold.has_samples

    def hold_ms(self, request):
        """Return how long a request is expected to hold a slot."""
        return max(1.0, self.slowdown * self._hold.predict(work_units(request)))

    def first_token_ms(self, request):
        """Return the expected time from dispatch to first token."""
        return self.slowdown * self._first_token.predict(request.prompt_tokens)

    def observe(self, request, hold_ms, first_token_ms):
        """Add the outcome of a request that was answered.

        Parameters
        ==========
        request : hemlockhoist.decisions.WorkRequest
        hold_ms : int
            From grant to release.
        first_token_ms : int
            From dispatch; -1 if there was none.
        """
        self._hold.add(work_units(request), hold_ms / self.slowdown)
        if first_token_ms >= 0:
            first_ms = first_token_ms / self.slowdown
            self._first_token.add(request.prompt_tokens, first_ms)
