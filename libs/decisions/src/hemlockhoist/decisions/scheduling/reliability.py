"""Circuit breaker of an upstream, and failure rate of its answers."""

import math

# After a failed connection, or a request that it turned away, an upstream gets no request
# for this long, then one at a time; the time doubles with each consecutive failure.
# Otherwise each request would first try a crashed upstream that is still listed, as it
# holds the fewest requests. A connection is refused within milliseconds and a restart
# takes seconds, so the first backoff is short and the longest not much longer than a
# restart.
INITIAL_BACKOFF_MS = 250
MAX_BACKOFF_MS = 2_000
# Half-life of the failure counts, so that a recovered upstream is used again although
# no answers show its recovery.
FAILURE_HALF_LIFE_MS = 2_500
# Excess failure rate, in standard deviations, that is attributed to chance.
TOLERATED_DEVIATIONS = 1.5
# Weight of the prior, in answers: an upstream is assumed to fail as often as others.
PRIOR_ANSWERS = 4.0


class CircuitBreaker:
    """Circuit breaker that opens when an upstream does not take requests.

    Examples
    ========
    >>> from hemlockhoist.decisions.scheduling.reliability import CircuitBreaker
    >>> breaker = CircuitBreaker()
    >>> breaker.on_failure(now_ms=1_000)
    >>> breaker.allows_request(1_100, in_flight=0)
    False
    >>> breaker.allows_request(1_250, in_flight=0)
    True
    >>> breaker.allows_request(1_250, in_flight=1)
    False
    >>> breaker.on_reachable()
    >>> breaker.allows_request(1_250, in_flight=1)
    True
    """

    __slots__ = ("_backoff_ms", "_open_until_ms")

    def __init__(self):
        self._backoff_ms = 0
        self._open_until_ms = 0

    def on_failure(self, now_ms):
        """Record a failed connection or a rejection; ignored during the backoff."""
        if now_ms < self._open_until_ms:
            return
        self._backoff_ms = min(
            MAX_BACKOFF_MS, max(INITIAL_BACKOFF_MS, 2 * self._backoff_ms)
        )
        self._open_until_ms = now_ms + self._backoff_ms

    def on_reachable(self):
        """Record that the upstream answered, which closes the breaker."""
        self._backoff_ms = 0
        self._open_until_ms = 0

    def allows_request(self, now_ms, in_flight):
        """Return whether the upstream may be sent a request."""
        if not self._backoff_ms:
            return True
        return now_ms >= self._open_until_ms and in_flight == 0


class FailureRate:
    """Decayed counts of an upstream's answers and of the failures among them.

    Both counts decay at the same rate, so that one failure among many answers has
    little effect and several consecutive ones have much.
    """

    __slots__ = ("_answers", "_failures", "_updated_ms")

    def __init__(self):
        self._answers = 0.0
        self._failures = 0.0
        self._updated_ms = 0

    def observe(self, failed, now_ms):
        """Record the end of an answer."""
        decay = self._decay(now_ms)
        self._answers = decay * self._answers + 1
        self._failures = decay * self._failures + failed
        self._updated_ms = now_ms

    def counts(self, now_ms):
        """Return the decayed counts of failures and of answers."""
        decay = self._decay(now_ms)
        return decay * self._failures, decay * self._answers

    def excess(self, counts, now_ms):
        """Return the failure rate in excess of the others' and of chance.

        Parameters
        ==========
        counts : tuple of float
            Failures and answers of all upstreams, including this one.
        now_ms : int
        """
        failures, answers = self.counts(now_ms)
        if not failures:
            return 0.0
        usual_rate = (counts[0] - failures) / (counts[1] - answers + 1.0)
        weight = answers + PRIOR_ANSWERS
        rate = (failures + PRIOR_ANSWERS * usual_rate) / weight
        deviation = math.sqrt(usual_rate * (1.0 - usual_rate) / weight)
        return max(0.0, rate - usual_rate - TOLERATED_DEVIATIONS * deviation)

    def _decay(self, now_ms):
        half_lives = max(0, now_ms - self._updated_ms) / FAILURE_HALF_LIFE_MS
        return math.pow(0.5, half_lives)
