"""A rate limiter for log lines, which counts the lines it drops."""

import collections

import structlog

# At the present peak a host serves about 30 requests per second and logs six lines for
# each. Above the limit, lines about successes are dropped before lines about failures.
LINES_PER_S = 300
BURST_LINES = 1_500
# The fraction of the burst that is reserved for warnings and errors.
RESERVED_FRACTION = 0.4
_SEVERE_LEVELS = frozenset({"warning", "error", "critical"})
_MS_PER_S = 1_000


class LogRateLimiter:
    """A ``structlog`` processor that drops log lines above a rate (token bucket).

    In a burst, or in an outage in which every request fails several times, unlimited
    logging would use up processor time, and the readers of the logs would fall behind.

    Parameters
    ==========
    now_ms : callable
        Returns the time of the event loop in milliseconds.
    lines_per_s, burst_lines : int, optional
    """

    __slots__ = (
        "_burst_lines",
        "_dropped",
        "_lines_per_s",
        "_now_ms",
        "_tokens",
        "_updated_ms",
    )

    def __init__(self, now_ms, lines_per_s=LINES_PER_S, burst_lines=BURST_LINES):
        self._now_ms = now_ms
        self._lines_per_s = lines_per_s
        self._burst_lines = burst_lines
        self._tokens = float(burst_lines)
        self._updated_ms = now_ms()
        self._dropped = collections.Counter()

    def __call__(self, _logger, method, event):
        """Return the event unchanged, or raise ``DropEvent`` to drop its line."""
        now_ms = self._now_ms()
        refill = (now_ms - self._updated_ms) * self._lines_per_s / _MS_PER_S
        self._tokens = min(self._burst_lines, self._tokens + max(0.0, refill))
        self._updated_ms = now_ms
        min_tokens = (
            1.0
            if method in _SEVERE_LEVELS
            else 1.0 + RESERVED_FRACTION * self._burst_lines
        )
        if self._tokens < min_tokens:
            self._dropped[event.get("event", "")] += 1
            raise structlog.DropEvent
        self._tokens -= 1.0
        return event

    def take_dropped_by_event(self):
        """Return the number of lines dropped since the last call, by event."""
        dropped, self._dropped = self._dropped, collections.Counter()
        return dict(dropped)
