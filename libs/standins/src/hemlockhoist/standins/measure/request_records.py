"""Records of simulated requests, and a view of the prefix caches."""

from hemlockhoist.standins.measure.arrivals import BLOCK_TOKENS


class RequestRecord:
    """Course and outcome of one simulated request.

    Parameters
    ==========
    arrival : hemlockhoist.standins.measure.arrivals.Arrival
    request : hemlockhoist.decisions.WorkRequest
    """

    __slots__ = (
        "_best_match_blocks",
        "arrival",
        "attempts",
        "cached_tokens",
        "code",
        "dispatched_ms",
        "ended_ms",
        "first_token_ms",
        "is_whole",
        "request",
    )

    def __init__(self, arrival, request):
        self.arrival = arrival
        self.request = request
        self.code = None
        self.dispatched_ms = None
        self.first_token_ms = None
        self.ended_ms = None
        self.is_whole = False
        self.cached_tokens = 0
        self.attempts = 0
        self._best_match_blocks = 0

    @property
    def counts_as_goodput(self):
        """Whether the answer is whole and met its deadline and first token target."""
        if not self.is_whole:
            return False
        in_time = self.ended_ms <= self.request.deadline_ms
        return in_time and self.first_token_ms <= self.request.first_token_by_ms

    @property
    def wasted_tokens(self):
        """Prompt tokens computed for an unused answer or although a cache held them."""
        if self.first_token_ms is None:
            return 0
        computed = self.request.prompt_tokens - self.cached_tokens
        if not self.is_whole:
            return computed
        best_cached_tokens = min(
            self._best_match_blocks * BLOCK_TOKENS, self.request.prompt_tokens - 1
        )
        return max(0, best_cached_tokens - self.cached_tokens)

    def record_refusal(self, code, now_ms):
        """Record the refusal of the request."""
        self.code = code
        self.ended_ms = now_ms

    def record_dispatch(self, best_match_blocks, now_ms):
        """Record the dispatch and the longest prefix match of any cache by then."""
        self.dispatched_ms = now_ms
        self._best_match_blocks = best_match_blocks

    def record_first_token(self, cached_tokens, at_ms):
        """Record the first token of the answer."""
        self.cached_tokens = cached_tokens
        self.first_token_ms = at_ms

    def record_completion(self, at_ms):
        """Record the completion of the answer."""
        self.ended_ms = at_ms
        self.is_whole = True

    def record_failure(self, now_ms):
        """Record an answer that broke off or missed the deadline."""
        self.ended_ms = now_ms

    def since_dispatch_ms(self, at_ms):
        """Return the time from dispatch to ``at_ms``, or -1 when it is None."""
        return -1 if at_ms is None else at_ms - self.dispatched_ms


class PrefixCacheView:
    """Blocks in the prefix cache of an engine, as its cache events report them."""

    __slots__ = ("_blocks",)

    def __init__(self):
        self._blocks = set()

    def apply(self, stored, removed):
        """Apply a cache event."""
        self._blocks.update(stored)
        self._blocks.difference_update(removed)

    def match(self, prefix_hashes):
        """Return the number of leading blocks that are cached."""
        count = 0
        for item in prefix_hashes:
            if item not in self._blocks:
                break
            count += 1
        return count
