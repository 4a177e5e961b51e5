"""Randomised exponential backoff, and a retry budget over all calls of a process."""

import random

_PERMILLE = 1_000


class RetryBudget:
    """Token bucket that allows a set number of retries per thousand calls.

    While the store is down, every host of the fleet calls it. If each call were retried
    up to its limit, the load would be multiplied by that limit and would keep the store
    from recovering. Over any longer period, the budget limits retries to the set
    share of the calls; the accumulated ones cover a short failure.

    Parameters
    ==========
    permille : int
        Retries that a thousand calls earn.
    burst : int
        Maximum number of accumulated retries.
    """

    __slots__ = ("_max_tokens", "_permille", "_tokens")

    def __init__(self, permille, burst):
        self._permille = permille
        self._max_tokens = burst * _PERMILLE
        self._tokens = self._max_tokens

    @classmethod
    def from_config(cls, config):
        """Return a full budget.

        Parameters
        ==========
        config : PlatformConfig
        """
        return cls(config.retry_permille, config.retry_burst)

    def on_call(self):
        """Add the fraction of a retry that one call earns."""
        self._tokens = min(self._max_tokens, self._tokens + self._permille)

    def acquire(self):
        """Consume one retry; return whether one was available."""
        if self._tokens < _PERMILLE:
            return False
        self._tokens -= _PERMILLE
        return True


class Backoff:
    """Random delays whose upper bound doubles with each attempt.

    Without the randomness, hosts whose calls failed together would retry together.

    Parameters
    ==========
    base_ms, max_ms : int
    rng : random.Random
    """

    __slots__ = ("_base_ms", "_max_ms", "_rng")

    def __init__(self, base_ms, max_ms, rng):
        self._base_ms = base_ms
        self._max_ms = max_ms
        self._rng = rng

    @classmethod
    def from_config(cls, config, rng=None):
        """Return the backoff that a ``PlatformConfig`` sets."""
        rng = rng or random.Random()
        return cls(config.backoff_base_ms, config.backoff_max_ms, rng)

    def delay_ms(self, attempt):
        """Return the delay before a retry.

        Parameters
        ==========
        attempt : int
            1 for the first retry.
        """
        bound_ms = min(self._max_ms, self._base_ms << (attempt - 1))
        return self._rng.uniform(0, bound_ms)
