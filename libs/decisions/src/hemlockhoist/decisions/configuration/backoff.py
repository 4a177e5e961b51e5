"""Backoff of reads of the store, with jitter, a bounded delay and a retry budget.

When a store outage ends while every host waits for the store, hosts without a random
delay would all read at the same moment, and retries without a budget would keep the
store down.
"""

BASE_MS = 500
MAX_MS = 30_000
_MAX_DOUBLINGS = 6
_TOKENS_PER_RETRY = 1_000


class RetryBudget:
    """Token bucket that allows retries as a share of first attempts and over time.

    Parameters
    ==========
    share_permille : int
        Retries allowed per thousand first attempts.
    max_retries : int
        Maximum number of retries that can accumulate.
    refill_ms : int
        Time in which one retry accumulates, so that a host without first attempts
        recovers.
    """

    __slots__ = ("_last_ms", "_max_tokens", "_refill_ms", "_share_permille", "_tokens")

    def __init__(self, share_permille=100, max_retries=5, refill_ms=10_000):
        self._share_permille = share_permille
        self._max_tokens = max_retries * _TOKENS_PER_RETRY
        self._refill_ms = refill_ms
        self._tokens = self._max_tokens
        self._last_ms = None

    def on_attempt(self, now_ms):
        """Count a first attempt."""
        self._refill(self._share_permille, now_ms)

    def acquire(self, now_ms):
        """Return whether a retry is allowed; if so, consume it."""
        self._refill(0, now_ms)
        if self._tokens < _TOKENS_PER_RETRY:
            return False
        self._tokens -= _TOKENS_PER_RETRY
        return True

    def _refill(self, tokens, now_ms):
        last_ms = now_ms if self._last_ms is None else self._last_ms
        self._last_ms = max(now_ms, last_ms)
        elapsed_ms = self._last_ms - last_ms
        tokens += elapsed_ms * _TOKENS_PER_RETRY // self._refill_ms
        self._tokens = min(self._max_tokens, self._tokens + tokens)


class StoreBackoff:
    """Schedules the reads of the store.

    The delay is drawn from the whole range up to a bound that doubles with each failure
    ("full jitter"), so that hosts that failed at the same time do not retry at the same
    time. If the budget does not allow a retry, the bound is the longest one at once.

    Parameters
    ==========
    interval_ms : int
        Interval between reads while the store answers.
    rng : random.Random
    """

    __slots__ = ("_budget", "_due_ms", "_failures", "_interval_ms", "_rng")

    def __init__(self, interval_ms, rng):
        self._interval_ms = interval_ms
        self._rng = rng
        self._budget = RetryBudget()
        self._failures = 0
        self._due_ms = None

    def is_due(self, now_ms, first_delay_ms=0):
        """Return whether to read now; if so, draw the time of the next read.

        Parameters
        ==========
        now_ms : int
        first_delay_ms : int
            Bound of the random delay before the first read.
        """
        if self._due_ms is None:
            self._due_ms = now_ms + self._rng.randrange(first_delay_ms + 1)
        if now_ms < self._due_ms:
            return False
        self._due_ms = now_ms + self._delay_ms()
        if not self._failures:
            self._budget.on_attempt(now_ms)
        return True

    def on_success(self):
        """Return to the regular interval."""
        self._failures = 0

    def on_failure(self, now_ms):
        """Schedule the next read after a longer random delay."""
        self._failures = min(_MAX_DOUBLINGS, self._failures + 1)
        if not self._budget.acquire(now_ms):
            self._failures = _MAX_DOUBLINGS
        self._due_ms = now_ms + self._delay_ms()

    def _delay_ms(self):
        if not self._failures:
            return self._interval_ms + self._rng.randrange(self._interval_ms // 4 + 1)
        bound_ms = min(MAX_MS, BASE_MS << self._failures)
        return BASE_MS + self._rng.randrange(bound_ms)
