"""The tokens that the requests of an engine take of its declared memory."""

# An engine stops working on a request within this time after its entry host has given
# it up. Until then the request still takes memory.
ABANDONED_MS = 500


class EngineMemory:
    """Bounds the tokens of the requests that each upstream of a pool holds.

    Load: long prompts, of which the slots of an engine could hold more than its memory.
    Failure prevented: an engine crashes under them, with all its requests. A request
    that is longer than the whole memory is not refused here. It runs alone.

    Parameters
    ==========
    capacity_tokens : int
        Declared memory of one upstream; 0 for no bound.

    Examples
    ========
    >>> from hemlockhoist.decisions.scheduling.engine_memory import EngineMemory
    >>> memory = EngineMemory(1_000)
    >>> memory.record_begin("u1", "g1", 800)
    >>> memory.fits("u1", 300, in_flight=1, now_ms=0)
    False
    >>> memory.record_end("u1", "g1", is_abandoned=False, now_ms=0)
    >>> memory.fits("u1", 300, in_flight=1, now_ms=0)
    True
    """

    __slots__ = ("_abandoned", "_capacity", "_held", "_totals")

    def __init__(self, capacity_tokens):
        self._capacity = capacity_tokens
        # Tokens by upstream, and of each request by upstream and grant.
        self._totals = {}
        self._held = {}
        # Upstream, grant and end of requests that were given up, the next to end first.
        self._abandoned = []

    def fitting(self, upstreams, tokens, in_flight, now_ms):
        """Return the upstreams whose memory holds one more request.

        Parameters
        ==========
        upstreams : list of hemlockhoist.decisions.Upstream
        tokens : int
            Prompt and output tokens of the request.
        in_flight : callable
            Returns the number of grants in flight at an upstream id.
        now_ms : int
        """
        if not self._capacity or not self._totals:
            return upstreams
        return [
            item
            for item in upstreams
            if self.fits(item.upstream_id, tokens, in_flight(item.upstream_id), now_ms)
        ]

    def fits(self, upstream_id, tokens, in_flight, now_ms):
        """Return whether an upstream's memory holds one more request."""
        if self._abandoned:
            self._end_abandoned(now_ms)
        if not in_flight or not self._capacity:
            return True
        return self._totals.get(upstream_id, 0) + tokens <= self._capacity

    def record_begin(self, upstream_id, grant_id, tokens):
        """Record that a request was granted to an upstream."""
        if not self._capacity:
            return
        self._held.setdefault(upstream_id, {})[grant_id] = tokens
        self._totals[upstream_id] = self._totals.get(upstream_id, 0) + tokens

    def record_end(self, upstream_id, grant_id, is_abandoned, now_ms):
        """Record the end of a grant.

        Parameters
        ==========
        upstream_id, grant_id : str
        is_abandoned : bool
            Whether the upstream may still work on the request for a moment.
        now_ms : int
        """
        if is_abandoned and self._capacity:
            entry = (now_ms + ABANDONED_MS, upstream_id, grant_id)
            self._abandoned.append(entry)
        else:
            self._end(upstream_id, grant_id)

    def forget(self, upstream_id):
        """Forget an upstream that has restarted or is no longer listed."""
        self._totals.pop(upstream_id, None)
        self._held.pop(upstream_id, None)

    def _end_abandoned(self, now_ms):
        while self._abandoned and self._abandoned[0][0] <= now_ms:
            _, upstream_id, grant_id = self._abandoned.pop(0)
            self._end(upstream_id, grant_id)

    def _end(self, upstream_id, grant_id):
        held = self._held.get(upstream_id)
        if held is None:
            return
        self._totals[upstream_id] -= held.pop(grant_id, 0)
        if not held:
            self.forget(upstream_id)
