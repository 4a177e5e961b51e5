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
    >>> from hemlockhoist.decisions import Upstream
    >>> memory = EngineMemory(1_000)
    >>> engine = Upstream(upstream_id="u1", pool="p", version="v", address="a")
    >>> memory.record_begin("u1", "g1", 800)
    >>> len(memory.fitting([engine], 300, now_ms=0))
    0
    >>> memory.record_end("u1", "g1", is_abandoned=False, now_ms=0)
    >>> len(memory.fitting([engine], 300, now_ms=0))
    1
    """

    __slots__ = ("_abandoned", "_capacity", "_held", "_totals")

    def __init__(self, capacity_tokens):
        self._capacity = capacity_tokens
        # Tokens by upstream, and of each request by upstream and grant.
        self._totals = {}
        self._held = {}
        # Upstream, grant and end of requests that were given up, the next to end first.
        self._abandoned = []

    def fitting(self, upstreams, tokens, now_ms):
        """Return the upstreams whose memory holds one more request.

        Hot path: called for each request, mostly while no memory is nearly full.

        Parameters
        ==========
        upstreams : list of hemlockhoist.decisions.Upstream
        tokens : int
            Prompt and output tokens of the request.
        now_ms : int
        """
        if self._abandoned:
            self._end_abandoned(now_ms)
        left_tokens = self._capacity - tokens
        # Totals exist only for upstreams that hold something, given up or not, so that a
        # request that is longer than the memory finds an empty one.
        full = {key for key, total in self._totals.items() if total > left_tokens}
        if not full:
            return upstreams
        return [item for item in upstreams if item.upstream_id not in full]

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
