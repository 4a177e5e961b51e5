"""A value that becomes visible to readers some time after it was set."""

import collections


class DelayedValue:
    """Keeps the history of a value and returns it as it was ``lag_ms`` ago.

    Parameters
    ==========
    value : object
    now_ms : int
    lag_ms : int
        May be changed at any time.
    """

    __slots__ = ("_history", "lag_ms")

    def __init__(self, value, now_ms, lag_ms=0):
        self._history = collections.deque([(now_ms, value)])
        self.lag_ms = lag_ms

    def set(self, value, now_ms):
        """Set the value, which becomes visible after ``lag_ms``."""
        self._history.append((now_ms, value))
        # Drops entries that a newer visible entry hides; they are no longer read.
        while len(self._history) > 2 and self._visible(self._history[1], now_ms):
            self._history.popleft()

    def get(self, now_ms):
        """Return the value as it was ``lag_ms`` ago."""
        visible = self._history[0]
        for entry in self._history:
            if not self._visible(entry, now_ms):
                break
            visible = entry
        return visible[1]

    def latest(self):
        """Return the value set last."""
        return self._history[-1][1]

    def _visible(self, entry, now_ms):
        return entry[0] + self.lag_ms <= now_ms
