"""A bound on the lines that a process logs, and what was left out."""

import collections

import structlog

# A host at today's peak serves some 30 requests a second with six lines each. Beyond
# this, lines of what went well are left out before those of what failed.
LINES_PER_S = 300
BURST_LINES = 1_500
# Of the burst, this part is kept for warnings and errors.
RESERVED_FRACTION = 0.4
_SERIOUS = frozenset({"warning", "error", "critical"})
_MS_PER_S = 1_000


class LogRateLimiter:
    """Drops log lines beyond a rate; a processor for ``structlog``.

    Load: a burst, or an outage in which every request fails several times. Harm
    without it: the processor spends its time on lines, and whoever reads them falls
    behind.

    Parameters
    ==========
    now_ms : callable
        The runtime's clock.
    lines_per_s, burst_lines : int, optional
    """

    __slots__ = ("_at_ms", "_burst", "_left_out", "_level", "_now_ms", "_rate")

    def __init__(self, now_ms, lines_per_s=LINES_PER_S, burst_lines=BURST_LINES):
        self._now_ms = now_ms
        self._rate = lines_per_s
        self._burst = burst_lines
        self._level = float(burst_lines)
        self._at_ms = now_ms()
        self._left_out = collections.Counter()

    def __call__(self, _logger, method, event):
        """Pass a line on, or drop it."""
        now_ms = self._now_ms()
        gained = (now_ms - self._at_ms) * self._rate / _MS_PER_S
        self._level = min(self._burst, self._level + max(0.0, gained))
        self._at_ms = now_ms
        floor = 1.0 if method in _SERIOUS else 1.0 + RESERVED_FRACTION * self._burst
        if self._level < floor:
            self._left_out[event.get("event", "")] += 1
            raise structlog.DropEvent
        self._level -= 1.0
        return event

    def take_dropped_by_event(self):
        """Return how many lines of each event were dropped since the last call."""
        left_out, self._left_out = self._left_out, collections.Counter()
        return dict(left_out)
