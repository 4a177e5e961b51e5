"""The latest word of each upstream on one limit, as entry hosts heard it."""

import msgspec

from hemlockhoist.messages import NO_LIMIT


class KnownLimit(msgspec.Struct, frozen=True):
    """What a home knows of the limit that one upstream advertises.

    Parameters
    ==========
    per_s : float
        ``NO_LIMIT`` once it was withdrawn.
    heard_ms : int
        When an entry host heard it, on this home's clock.
    """

    per_s: float
    heard_ms: int


class KnownLimits:
    """Keeps the latest word of each upstream; words may overtake each other.

    Upstreams that never advertised a limit use no memory.

    Examples
    ========
    >>> from hemlockhoist.decisions.scheduling.known_limits import KnownLimits
    >>> known = KnownLimits()
    >>> known.record("u1", 2.0, heard_ms=10), known.record("u1", 3.0, heard_ms=5)
    (True, False)
    >>> known.per_s("u1"), known.per_s("u2")
    (2.0, inf)
    """

    __slots__ = ("_limits",)

    def __init__(self):
        self._limits = {}

    def __bool__(self):
        return bool(self._limits)

    def record(self, upstream_id, per_s, heard_ms):
        """Record what an upstream advertised; return whether its limit changed.

        Parameters
        ==========
        upstream_id : str
        per_s : float
            ``NO_LIMIT`` if it advertises none, or no longer.
        heard_ms : int
            When it was heard; what was heard before the known limit is ignored.
        """
        known = self._limits.get(upstream_id)
        if known is None and per_s == NO_LIMIT:
            return False
        if known is not None and heard_ms < known.heard_ms:
            return False
        self._limits[upstream_id] = KnownLimit(per_s, heard_ms)
        return known is None or known.per_s != per_s

    def per_s(self, upstream_id):
        """Return the limit of an upstream, or ``NO_LIMIT``."""
        known = self._limits.get(upstream_id)
        return NO_LIMIT if known is None else known.per_s

    def forget(self, upstream_id):
        """Forget an upstream that is gone or has restarted."""
        self._limits.pop(upstream_id, None)
