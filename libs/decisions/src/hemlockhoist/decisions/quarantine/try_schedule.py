"""When a single request may try what is blocked."""

from hemlockhoist.base import MS_PER_S

# A blocked part or request is tried after this time, then after twice as long, and so
# on: one that still crashes upstreams costs one of them each time.
FIRST_TRY_MS = 600 * MS_PER_S
MAX_TRY_INTERVAL_MS = 86_400 * MS_PER_S
MAX_DOUBLINGS = 8


class TrySchedule:
    """Holds the time of the next try of each blocked part or request."""

    __slots__ = ("_due_ms",)

    def __init__(self):
        self._due_ms = {}

    def schedule(self, record, now_ms):
        """Set the time of the next try from the number of earlier ones."""
        interval_ms = FIRST_TRY_MS << min(record.tries, MAX_DOUBLINGS)
        self._due_ms[record.part] = now_ms + min(interval_ms, MAX_TRY_INTERVAL_MS)

    def cancel(self, part):
        """Forget what is no longer blocked."""
        self._due_ms.pop(part, None)

    def is_due(self, part, now_ms):
        """Return whether a single request may be sent."""
        due_ms = self._due_ms.get(part)
        return due_ms is not None and now_ms >= due_ms
