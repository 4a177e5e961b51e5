"""Bounded retries: random pauses, and a budget over all calls of a process."""

import random

_PERMILLE = 1_000


class RetryBudget:
    """Allows a set number of retries for each thousand calls.

    Load: a store that is down, while each of the fleet's hosts calls it. Harm: each
    call retried to its limit multiplies the load by that limit, and keeps the store
    down when it would come back. Reason for the limit: over any longer time, retries
    add no more than the set share of the calls; the saved ones cover a short fault.

    Parameters
    ==========
    permille : int
    burst : int
    """

    __slots__ = ("_max_saved", "_permille", "_saved")

    def __init__(self, permille, burst):
        self._permille = permille
        self._max_saved = burst * _PERMILLE
        self._saved = self._max_saved

    @classmethod
    def from_config(cls, config):
        """Return a full budget.

        Parameters
        ==========
        config : PlatformConfig
        """
        return cls(config.retry_permille, config.retry_burst)

    def on_call(self):
        """Count a call, which earns a part of a retry."""
        self._saved = min(self._max_saved, self._saved + self._permille)

    def take(self):
        """Take one retry; return whether there was one."""
        if self._saved < _PERMILLE:
            return False
        self._saved -= _PERMILLE
        return True


class Backoff:
    """Random pauses whose upper bound doubles with each attempt.

    Without the randomness, hosts that failed together would come back together.

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
        """Return the pauses of a ``PlatformConfig``."""
        rng = rng or random.Random()
        return cls(config.backoff_base_ms, config.backoff_max_ms, rng)

    def delay_ms(self, attempt):
        """Return the pause before a retry.

        Parameters
        ==========
        attempt : int
            1 for the first retry.
        """
        bound_ms = min(self._max_ms, self._base_ms << (attempt - 1))
        return self._rng.uniform(0, bound_ms)
