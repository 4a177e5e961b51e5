"""Whether an upstream can be reached, and whether its answers can be trusted."""

import math

# After a failed connection nothing goes to an upstream for this long, then one request
# at a time, and twice as long after each failure in a row. Made for an upstream that
# has crashed while the list still shows it: without it each request tries it first, as
# it looks the emptiest of all. A refusal comes within milliseconds and a restart takes
# seconds, so that the first pause is short and the longest not much more than a restart.
INITIAL_BACKOFF_MS = 250
MAX_BACKOFF_MS = 2_000
# Failures are forgotten by half in this time, so that an upstream that has recovered
# is used again without answers to show it.
FAILURE_HALF_LIFE_MS = 2_500
# Standard deviations of a failure rate that are put down to chance.
TOLERATED_DEVIATIONS = 1.5
# Until it has answered this often, an upstream is taken to fail as often as others.
PRIOR_ANSWERS = 4.0


class CircuitBreaker:
    """Whether an upstream takes connections.

    Examples
    ========
    >>> from hemlockhoist.decisions.scheduling.reliability import CircuitBreaker
    >>> breaker = CircuitBreaker()
    >>> breaker.on_connect_failure(now_ms=1_000)
    >>> breaker.allows_request(1_100, in_flight=0), breaker.allows_request(1_250, in_flight=0)
    (False, True)
    >>> breaker.allows_request(1_250, in_flight=1)
    False
    >>> breaker.on_reachable()
    >>> breaker.allows_request(1_250, in_flight=1)
    True
    """

    __slots__ = ("_closed_until_ms", "_pause_ms")

    def __init__(self):
        self._pause_ms = 0
        self._closed_until_ms = 0

    def on_connect_failure(self, now_ms):
        """Take a failed connection."""
        if now_ms < self._closed_until_ms:
            return
        self._pause_ms = min(
            MAX_BACKOFF_MS, max(INITIAL_BACKOFF_MS, 2 * self._pause_ms)
        )
        self._closed_until_ms = now_ms + self._pause_ms

    def on_reachable(self):
        """Take a sign of life."""
        self._pause_ms = 0
        self._closed_until_ms = 0

    def allows_request(self, now_ms, in_flight):
        """Return whether it may be given a request."""
        if not self._pause_ms:
            return True
        return now_ms >= self._closed_until_ms and in_flight == 0


class FailureRate:
    """The part of an upstream's answers that were failures, lately.

    Answers and failures are counted and fade alike, so that one failure among many
    answers says little, and some in a row much.
    """

    __slots__ = ("_answers", "_at_ms", "_failures")

    def __init__(self):
        self._answers = 0.0
        self._failures = 0.0
        self._at_ms = 0

    def observe(self, failed, now_ms):
        """Take the end of an answer."""
        kept = self._kept(now_ms)
        self._answers = kept * self._answers + 1
        self._failures = kept * self._failures + failed
        self._at_ms = now_ms

    def counts(self, now_ms):
        """Return the faded counts of failures and of answers."""
        kept = self._kept(now_ms)
        return kept * self._failures, kept * self._answers

    def excess(self, counts, now_ms):
        """Return by how much it fails more often than others, chance left aside.

        Parameters
        ==========
        counts : tuple of float
            Failures and answers of all upstreams, this one included.
        now_ms : int
        """
        failures, answers = self.counts(now_ms)
        if not failures:
            return 0.0
        usual = (counts[0] - failures) / (counts[1] - answers + 1.0)
        known = answers + PRIOR_ANSWERS
        rate = (failures + PRIOR_ANSWERS * usual) / known
        by_chance = math.sqrt(usual * (1.0 - usual) / known)
        return max(0.0, rate - usual - TOLERATED_DEVIATIONS * by_chance)

    def _kept(self, now_ms):
        passed = max(0, now_ms - self._at_ms) / FAILURE_HALF_LIFE_MS
        return math.pow(0.5, passed)
