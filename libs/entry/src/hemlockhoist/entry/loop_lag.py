"""How late the event loop runs what is due."""

from hemlockhoist.base import PeriodicTask, get_logger

_log = get_logger("entry.loop_lag")

PROBE_INTERVAL_MS = 100
# Callers' requests and changed rows wait in the sockets for as long.
LOGGED_LAG_MS = 250


class LoopLag:
    """Measures the delay of the event loop, by how late a periodic task is called.

    Parameters
    ==========
    clock : Clock
    """

    __slots__ = ("_clock", "_due_ms", "_largest_ms", "_task")

    def __init__(self, clock):
        self._clock = clock
        self._due_ms = None
        self._largest_ms = 0
        self._task = PeriodicTask(PROBE_INTERVAL_MS, self._probe)

    async def start(self):
        """Start measuring."""
        await self._task.start()

    async def close(self):
        """Stop measuring."""
        await self._task.close()

    def take_largest_ms(self):
        """Return the largest lag since the previous call, in milliseconds."""
        largest_ms, self._largest_ms = self._largest_ms, 0
        return largest_ms

    def _probe(self):
        now_ms = self._clock.now_ms()
        if self._due_ms is not None:
            self._record(max(0, now_ms - self._due_ms))
        self._due_ms = now_ms + PROBE_INTERVAL_MS

    def _record(self, lag_ms):
        self._largest_ms = max(self._largest_ms, lag_ms)
        if lag_ms >= LOGGED_LAG_MS:
            _log.warning("event_loop_late", lag_ms=lag_ms)
