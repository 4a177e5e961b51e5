"""Recognition of upstreams that send nothing while hedges overtake their requests."""

import math

from hemlockhoist.decisions.incarnations import Incarnations
from hemlockhoist.decisions.scheduling.declared_slots_upstream import (
    STALLED_ALLOWANCE_MS,
    STALLED_FACTOR,
)

# If 2 in 100 responses are slow, 8 in a million upstreams are classified as unresponsive
# after as many overtaken attempts in a row; after two it would be 4 in 10,000.
MIN_OVERTAKEN = 3


class _OvertakenRun:
    """The run of overtaken attempts at one upstream since it last sent anything."""

    __slots__ = ("answered_ms", "attempt_count", "overdue_ms")

    def __init__(self):
        self.answered_ms = -math.inf
        self.end()

    def end(self):
        """End the run, as the upstream has sent something."""
        self.attempt_count = 0
        self.overdue_ms = math.inf


class SilentUpstreams:
    """Decides whether an attempt that a hedge overtook counts as timed out.

    Load: an upstream that accepts requests and sends nothing, in a deployment with
    hedges. Each request there is overtaken after some hundred milliseconds and
    cancelled, so that none is stalled or times out, and the upstream gets the next one.

    A single attempt does not show whether the upstream is unresponsive or only slow, as
    it is cancelled long before its time limit. So an attempt counts as timed out only if

    - it took longer than is usual at this upstream,
    - it is at least the third such attempt since the upstream last sent anything, and
    - the upstream has sent nothing since one of these was granted, for so long that a
      request without a hedge would be stalled.

    Anything that the upstream sends to any host ends the run. A slow response, and an
    upstream that is slow by nature, therefore count for nothing.

    Examples
    ========
    >>> from hemlockhoist.decisions.scheduling.silent_upstreams import SilentUpstreams
    >>> silent = SilentUpstreams()
    >>> def overtaken(granted_ms):
    ...     return silent.record_overtaken("u1", granted_ms, 100, 40, granted_ms + 100)
    >>> [overtaken(granted_ms) for granted_ms in (0, 200, 400)]
    [False, False, True]
    >>> silent.record_answer("u1", now_ms=600)
    >>> [overtaken(granted_ms) for granted_ms in (550, 700)]
    [False, False]
    """

    __slots__ = ("_by_upstream", "_incarnations")

    def __init__(self):
        # Only upstreams at which a hedge overtook an attempt have an entry.
        self._by_upstream = {}
        self._incarnations = Incarnations()

    def set_listed(self, upstreams, now_ms):
        """Forget the upstreams whose process has ended."""
        for upstream_id in self._incarnations.replace(upstreams, now_ms):
            self._by_upstream.pop(upstream_id, None)

    def record_answer(self, upstream_id, now_ms):
        """Record that an upstream began or ended any answer."""
        run = self._by_upstream.get(upstream_id)
        if run is not None:
            run.answered_ms = now_ms
            run.end()

    def record_overtaken(self, upstream_id, granted_ms, elapsed_ms, usual_ms, now_ms):
        """Record an overtaken attempt; return whether it counts as timed out.

        Parameters
        ==========
        upstream_id : str
        granted_ms : int
            When the attempt was granted.
        elapsed_ms : int
            Time from its dispatch to its end.
        usual_ms : float
            Usual time until this upstream begins to answer such a request.
        now_ms : int
        """
        if elapsed_ms <= usual_ms:
            return False
        run = self._by_upstream.setdefault(upstream_id, _OvertakenRun())
        if granted_ms < run.answered_ms:
            return False
        run.attempt_count += 1
        stalled_ms = STALLED_ALLOWANCE_MS + (1 + STALLED_FACTOR) * usual_ms
        run.overdue_ms = min(run.overdue_ms, granted_ms + stalled_ms)
        return run.attempt_count >= MIN_OVERTAKEN and now_ms >= run.overdue_ms
