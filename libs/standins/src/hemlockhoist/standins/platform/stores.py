"""Object store, and the rate limit of the weight store."""

MS_PER_S = 1000


class RateLimit:
    """Token bucket for reads, with a burst of one second's worth of tokens.

    Parameters
    ==========
    per_second : float
    now_ms : int
    """

    __slots__ = ("_at_ms", "_tokens", "per_second")

    def __init__(self, per_second, now_ms):
        self.per_second = per_second
        self._tokens = max(1.0, per_second)
        self._at_ms = now_ms

    def acquire(self, now_ms):
        """Take a token and return 0, or return the milliseconds to wait for one."""
        added = (now_ms - self._at_ms) * self.per_second / MS_PER_S
        self._tokens = min(max(1.0, self.per_second), self._tokens + added)
        self._at_ms = now_ms
        if self._tokens >= 1.0:
            self._tokens -= 1.0
            return 0
        return max(1, int((1.0 - self._tokens) * MS_PER_S / self.per_second))


class ObjectStore:
    """Byte strings by name."""

    __slots__ = ("_objects",)

    def __init__(self):
        self._objects = {}

    def get(self, name):
        """Return the bytes of a name, or None."""
        return self._objects.get(name)

    def put(self, name, body):
        """Store the bytes under the name."""
        self._objects[name] = body
