"""Whether an upstream can be reached, and whether its answers can be trusted."""

import math

# After a failed connection nothing goes to an upstream for this long, then one request
# at a time, and twice as long after each failure in a row. Made for an upstream that
# has crashed while the list still shows it: without it each request tries it first, as
# it looks the emptiest of all. A refusal comes within milliseconds and a restart takes
# seconds, so that the first pause is short and the longest not much more than a restart.
FIRST_PAUSE_MS = 250
MAX_PAUSE_MS = 2_000
# Failures are forgotten by half in this time, so that an upstream that has recovered
# is used again without answers to show it.
FAILURE_HALF_LIFE_MS = 2_500
# An answer counts this much of the failure rate.
FAILURE_WEIGHT = 0.2
# Below this a rate is none: it would make no difference to where a request goes.
LEAST_RATE = 0.001


class Reach:
    """Whether an upstream takes connections.

    Examples
    ========
    >>> from hemlockhoist.decisions.scheduling.reach import Reach
    >>> reach = Reach()
    >>> reach.on_failed(now_ms=1_000)
    >>> reach.is_open(1_100, in_flight=0), reach.is_open(1_250, in_flight=0)
    (False, True)
    >>> reach.is_open(1_250, in_flight=1)
    False
    >>> reach.on_reached()
    >>> reach.is_open(1_250, in_flight=1)
    True
    """

    __slots__ = ("_closed_until_ms", "_pause_ms")

    def __init__(self):
        self._pause_ms = 0
        self._closed_until_ms = 0

    def on_failed(self, now_ms):
        """Take a failed connection."""
        if now_ms < self._closed_until_ms:
            return
        self._pause_ms = min(MAX_PAUSE_MS, max(FIRST_PAUSE_MS, 2 * self._pause_ms))
        self._closed_until_ms = now_ms + self._pause_ms

    def on_reached(self):
        """Take a sign of life."""
        self._pause_ms = 0
        self._closed_until_ms = 0

    def is_open(self, now_ms, in_flight):
        """Return whether it may be given a request."""
        if not self._pause_ms:
            return True
        return now_ms >= self._closed_until_ms and in_flight == 0


class FailureRate:
    """The part of an upstream's answers that were failures, lately."""

    __slots__ = ("_at_ms", "_rate")

    def __init__(self):
        self._rate = 0.0
        self._at_ms = 0

    def observe(self, failed, now_ms):
        """Take the end of an answer."""
        self._rate = self.rate(now_ms)
        self._at_ms = now_ms
        self._rate += FAILURE_WEIGHT * (failed - self._rate)

    def rate(self, now_ms):
        """Return the rate, faded by the time since the last answer."""
        if not self._rate:
            return 0.0
        passed = max(0, now_ms - self._at_ms) / FAILURE_HALF_LIFE_MS
        rate = self._rate * math.pow(0.5, passed)
        return rate if rate >= LEAST_RATE else 0.0
