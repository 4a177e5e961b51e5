"""How many requests an upstream may hold: found from the latency the hosts see."""

import math

# A place more or less is decided on answers that began under the present limit.
# First token times up to this multiple of an unqueued one are normal: the request
# shares its first step with others' prompts. Beyond the knee the engine's own queue
# adds the remaining time of a running answer, which is many times as long.
CONGESTED_RATIO = 3.0
# Added to the former, for prompts so short that one step of the batch dominates.
CONGESTED_ALLOWANCE_MS = 40.0
# Share of congested answers above which the limit falls, and below which it may rise.
FALL_SHARE = 0.4
RISE_SHARE = 0.2
# A fall is by at least a twentieth, and by no more than half on one set of answers.
FALL_FACTOR = 0.95
LEAST_FALL_FACTOR = 0.5
INITIAL_LIMIT = 16.0
# Before the first congestion the limit grows by one with each good answer, up to
# this multiple of what that answer proves. Answers come late: without the bound, the
# limit grows on old ones until the first congested answer arrives.
RISE_FACTOR = 1.25
# Answers to decide a fall on.
MIN_SAMPLES = 4
_SHARE_WEIGHT = 0.2
# The baseline follows a better time at once, and a worse one by this factor an
# answer, so that it doubles only within about seven hundred of them.
_BASELINE_CREEP = 1.001
_BASELINE_DROP = 0.3


class FirstTokenBaseline:
    """The first token time of an engine that does not queue, by size of prompt.

    Kept for a hardware generation, not for an upstream: an upstream that is slow from
    its start must not pass for normal.
    """

    __slots__ = ("_by_size",)

    def __init__(self):
        self._by_size = {}

    def congestion(self, prompt_tokens, first_token_ms):
        """Take an observation; return its excess over the baseline if it is congested.

        Parameters
        ==========
        prompt_tokens : int
            That the engine had to compute.
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
            base_ms -= _BASELINE_DROP * (base_ms - first_token_ms)
        else:
            base_ms *= _BASELINE_CREEP
        self._by_size[size] = max(1.0, base_ms)
        if first_token_ms <= CONGESTED_RATIO * base_ms + CONGESTED_ALLOWANCE_MS:
            return 0.0
        return first_token_ms - base_ms


class ConcurrencyLimit:
    """The adaptive limit of one upstream.

    Made for saturation on engines of unlike generations: they admit what they are
    sent, in the order it comes, so a request beyond the knee waits where no tier
    counts. The limit keeps the batch full and the engine's queue short; what waits,
    waits at the home, in tier order.

    Parameters
    ==========
    max_limit : int
        The pool's declared upper bound.
    """

    __slots__ = (
        "_changed_ms",
        "_congested",
        "_excess",
        "_level",
        "_limit",
        "_max",
        "_rising",
        "_samples",
    )

    def __init__(self, max_limit):
        self._max = max(1, max_limit)
        self._limit = min(INITIAL_LIMIT, float(self._max))
        self._rising = True
        self._congested = 0.0
        self._excess = 0.0
        self._level = 0.0
        self._samples = 0
        self._changed_ms = 0

    @property
    def slots(self):
        """Requests that the upstream may hold."""
        return int(self._limit)

    def set_max(self, max_limit):
        """Take a changed upper bound."""
        self._max = max(1, max_limit)
        self._limit = min(self._limit, float(self._max))

    def raise_to(self, in_flight):
        """Raise the limit to what a former home had granted."""
        self._limit = min(float(self._max), max(self._limit, float(in_flight)))

    def observe(self, excess_ratio, granted_ms, level, now_ms):
        """Take the first token time of one answer.

        Parameters
        ==========
        excess_ratio : float
            Time beyond the baseline, over the mean time for which requests hold their
            places; 0 for a normal time.
        granted_ms : int
            Answers to grants from before the last change say nothing about it.
        level : int
            Requests that the upstream held when this one was granted. Good latency
            proves that many, and no more.
        now_ms : int
        """
        if granted_ms < self._changed_ms:
            return
        congested = excess_ratio > 0
        self._congested += _SHARE_WEIGHT * (congested - self._congested)
        self._samples += 1
        if congested:
            weight = max(_SHARE_WEIGHT, 1.0 / self._samples)
            self._excess += weight * (excess_ratio - self._excess)
            self._level += weight * (level - self._level)
        if self._congested > FALL_SHARE and self._samples >= MIN_SAMPLES:
            self._fall(now_ms)
        elif self._congested < RISE_SHARE and not congested:
            self._rise(level)

    def _rise(self, level):
        if level + 1 <= self._limit / RISE_FACTOR:
            return
        step = 1.0 if self._rising else 1.0 / self._limit
        proven = RISE_FACTOR * level if self._rising else level + 1.0
        reached = min(float(self._max), self._limit + step, proven)
        self._limit = max(self._limit, reached)

    def _fall(self, now_ms):
        """Take off what waits in the engine.

        A request that waits there for a part of its holding time has that part of the
        requests before it (Little's law).
        """
        factor = max(LEAST_FALL_FACTOR, min(FALL_FACTOR, 1.0 - self._excess))
        level = min(self._limit, max(self._level, self._limit * FALL_FACTOR))
        self._limit = max(1.0, level * factor)
        self._rising = False
        self._congested = 0.0
        self._excess = 0.0
        self._level = 0.0
        self._samples = 0
        self._changed_ms = now_ms


class DeclaredLimit:
    """The limit of an upstream that says how many requests it works on at once.

    What is sent beyond that waits in the upstream, in the order of arrival, where no
    tier counts; so nothing is. It has the interface of ``ConcurrencyLimit``.

    Parameters
    ==========
    slots : int
    """

    __slots__ = ("slots",)

    def __init__(self, slots):
        self.slots = slots

    def set_max(self, max_limit):
        """Do nothing: the upstream's own word is the bound."""

    def raise_to(self, in_flight):
        """Do nothing: grants of a former home beyond the limit only run out."""

    def observe(self, excess_ratio, granted_ms, level, now_ms):
        """Do nothing: there is nothing to find."""


def new_limit(slots, max_limit):
    """Return the limit of an upstream.

    Parameters
    ==========
    slots : int
        That the upstream declares; 0 where it does not.
    max_limit : int
        The pool's declared upper bound.
    """
    return DeclaredLimit(slots) if slots else ConcurrencyLimit(max_limit)
