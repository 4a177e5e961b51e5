"""Concurrency limits of upstreams, estimated from the latency that hosts observe."""

import math

# First token times up to this multiple of an unqueued one are normal: the request
# shares its first step with other prompts. Beyond the knee, with more requests than the
# engine's batch holds, its own queue adds the remaining time of a running answer, which
# is many times as long. Only answers that began under the current limit are evaluated.
CONGESTED_RATIO = 3.0
# Added to that multiple, for prompts so short that one step of the batch dominates.
CONGESTED_MARGIN_MS = 40.0
# Fraction of congested answers above which the limit is decreased, and below which it
# may be increased.
DECREASE_FRACTION = 0.4
INCREASE_FRACTION = 0.2
# A decrease is by at least a twentieth, and by at most half on one set of answers.
MAX_DECREASE_FACTOR = 0.95
MIN_DECREASE_FACTOR = 0.5
INITIAL_LIMIT = 16.0
# Before the first congestion the limit is increased by one with each good answer, up to
# this multiple of the concurrency that the answer proves. Answers arrive late: without
# the bound, the limit would grow on old ones until the first congested answer arrives.
INCREASE_FACTOR = 1.25
# Minimum number of answers for a decrease.
MIN_SAMPLES = 4
_AVERAGE_WEIGHT = 0.2
# The baseline follows a better time quickly, and a worse one by this factor per answer,
# so that it takes about seven hundred answers to double.
_BASELINE_RISE_FACTOR = 1.001
_BASELINE_FALL_WEIGHT = 0.3


class FirstTokenBaseline:
    """The time to first token of an engine that does not queue, by prompt size.

    It is kept for each hardware generation, not for each upstream, so that an upstream
    that is slow from its start is not treated as normal.
    """

    __slots__ = ("_by_size",)

    def __init__(self):
        self._by_size = {}

    def congestion(self, prompt_tokens, first_token_ms):
        """Record a time; return its excess over the baseline if it is congested.

        Parameters
        ==========
        prompt_tokens : int
            The prompt tokens that the engine had to compute.
        first_token_ms : int

        Returns
        =======
        float
            Milliseconds; 0 for a normal time.
        """
        size = int(math.log2(1 + max(0, prompt_tokens)))
        base_ms = self._by_size.get(size)
        if base_ms is None:
            self._by_size[size] = max(1.0, first_token_ms)
            return 0.0
        if first_token_ms < base_ms:
            base_ms -= _BASELINE_FALL_WEIGHT * (base_ms - first_token_ms)
        else:
            base_ms *= _BASELINE_RISE_FACTOR
        self._by_size[size] = max(1.0, base_ms)
        if first_token_ms <= CONGESTED_RATIO * base_ms + CONGESTED_MARGIN_MS:
            return 0.0
        return first_token_ms - base_ms


class ConcurrencyLimit:
    """The adaptive concurrency limit of one upstream.

    Engines of different generations admit requests in the order of arrival, so under
    saturation a request beyond the knee would wait in a queue without tiers. The limit
    keeps the batch full and the engine's queue short; requests wait at the home, in
    tier order.

    Parameters
    ==========
    max_limit : int
        The pool's declared upper bound.
    """

    __slots__ = (
        "_changed_ms",
        "_congested_fraction",
        "_excess_ratio",
        "_is_slow_start",
        "_limit",
        "_max",
        "_mean_in_flight",
        "_samples",
    )

    def __init__(self, max_limit):
        self._max = max(1, max_limit)
        self._limit = min(INITIAL_LIMIT, float(self._max))
        self._is_slow_start = True
        self._congested_fraction = 0.0
        self._excess_ratio = 0.0
        self._mean_in_flight = 0.0
        self._samples = 0
        self._changed_ms = 0

    @property
    def slots(self):
        """Number of requests that the upstream may hold."""
        return int(self._limit)

    def set_max(self, max_limit):
        """Set the upper bound."""
        self._max = max(1, max_limit)
        self._limit = min(self._limit, float(self._max))

    def raise_to(self, in_flight):
        """Raise the limit to the number of grants of a previous home."""
        self._limit = min(float(self._max), max(self._limit, float(in_flight)))

    def observe(self, excess_ratio, granted_ms, in_flight, now_ms):
        """Record the time to first token of one answer.

        Parameters
        ==========
        excess_ratio : float
            Time beyond the baseline, over the mean time for which requests hold their
            slots; 0 for a normal time.
        granted_ms : int
            Answers to grants from before the last change are ignored, as they say
            nothing about the current limit.
        in_flight : int
            Requests that the upstream held when this one was granted. Good latency
            proves that this many are sustainable, and no more.
        now_ms : int
        """
        if granted_ms < self._changed_ms:
            return
        congested = excess_ratio > 0
        self._congested_fraction += _AVERAGE_WEIGHT * (
            congested - self._congested_fraction
        )
        self._samples += 1
        if congested:
            weight = max(_AVERAGE_WEIGHT, 1.0 / self._samples)
            self._excess_ratio += weight * (excess_ratio - self._excess_ratio)
            self._mean_in_flight += weight * (in_flight - self._mean_in_flight)
        if (
            self._congested_fraction > DECREASE_FRACTION
            and self._samples >= MIN_SAMPLES
        ):
            self._decrease(now_ms)
        elif self._congested_fraction < INCREASE_FRACTION and not congested:
            self._increase(in_flight)

    def _increase(self, in_flight):
        if in_flight + 1 <= self._limit / INCREASE_FACTOR:
            return
        step = 1.0 if self._is_slow_start else 1.0 / self._limit
        proven = INCREASE_FACTOR * in_flight if self._is_slow_start else in_flight + 1.0
        reached = min(float(self._max), self._limit + step, proven)
        self._limit = max(self._limit, reached)

    def _decrease(self, now_ms):
        """Decrease the limit by the number of requests that wait in the engine.

        A request that waits there for a fraction of its holding time has that fraction
        of the requests ahead of it (Little's law).
        """
        factor = max(
            MIN_DECREASE_FACTOR, min(MAX_DECREASE_FACTOR, 1.0 - self._excess_ratio)
        )
        mean_in_flight = min(
            self._limit, max(self._mean_in_flight, self._limit * MAX_DECREASE_FACTOR)
        )
        self._limit = max(1.0, mean_in_flight * factor)
        self._is_slow_start = False
        self._congested_fraction = 0.0
        self._excess_ratio = 0.0
        self._mean_in_flight = 0.0
        self._samples = 0
        self._changed_ms = now_ms


class DeclaredLimit:
    """The limit of an upstream that declares its number of slots.

    Requests beyond it would wait in the upstream in the order of arrival, without
    tiers, so none are sent. It has the interface of ``ConcurrencyLimit``.

    Parameters
    ==========
    slots : int
    """

    __slots__ = ("slots",)

    def __init__(self, slots):
        self.slots = slots

    def set_max(self, max_limit):
        """Do nothing: the upstream's own declaration is the bound."""

    def raise_to(self, in_flight):
        """Do nothing: grants of a previous home beyond the limit are left to end."""

    def observe(self, excess_ratio, granted_ms, in_flight, now_ms):
        """Do nothing: the limit is declared and need not be estimated."""


def new_limit(slots, max_limit):
    """Return the limit of an upstream.

    Parameters
    ==========
    slots : int
        The number that the upstream declares; 0 where it declares none.
    max_limit : int
        The pool's declared upper bound.
    """
    return DeclaredLimit(slots) if slots else ConcurrencyLimit(max_limit)
