"""What a caller got, and what it cost."""

from hemlockhoist.standins.measure.arrivals import BLOCK_TOKENS


class RequestRecord:
    """The course of one request.

    Parameters
    ==========
    arrival : hemlockhoist.standins.measure.arrivals.Arrival
    request : hemlockhoist.decisions.WorkRequest
    """

    __slots__ = (
        "_best_blocks",
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
        self._best_blocks = 0

    @property
    def counts_as_goodput(self):
        """Whether it counts as goodput: whole, in time, first token in time."""
        if not self.is_whole:
            return False
        in_time = self.ended_ms <= self.request.deadline_ms
        return in_time and self.first_token_ms <= self.request.first_token_by_ms

    @property
    def wasted_tokens(self):
        """Prompt tokens computed for nobody, or again though a cache held them."""
        if self.first_token_ms is None:
            return 0
        computed = self.request.prompt_tokens - self.cached_tokens
        if not self.is_whole:
            return computed
        held = min(self._best_blocks * BLOCK_TOKENS, self.request.prompt_tokens - 1)
        return max(0, held - self.cached_tokens)

    def record_refusal(self, code, now_ms):
        """Record a refusal."""
        self.code = code
        self.ended_ms = now_ms

    def record_dispatch(self, best_blocks, now_ms):
        """Record the dispatch, and the most blocks that any cache then held."""
        self.dispatched_ms = now_ms
        self._best_blocks = best_blocks

    def record_first_token(self, cached_tokens, at_ms):
        """Record the first token."""
        self.cached_tokens = cached_tokens
        self.first_token_ms = at_ms

    def record_completion(self, at_ms):
        """Record the whole answer."""
        self.ended_ms = at_ms
        self.is_whole = True

    def record_failure(self, now_ms):
        """Record an answer that broke off or came too late."""
        self.ended_ms = now_ms

    def since_dispatch_ms(self, at_ms):
        """Return the time since dispatch, or -1 where ``at_ms`` is None."""
        return -1 if at_ms is None else at_ms - self.dispatched_ms


class PrefixCacheView:
    """The blocks in one engine's prefix cache, from its cache events."""

    __slots__ = ("_blocks",)

    def __init__(self):
        self._blocks = set()

    def apply(self, stored, removed):
        """Take one event."""
        self._blocks.update(stored)
        self._blocks.difference_update(removed)

    def match(self, prefix_hashes):
        """Return how many leading blocks are held."""
        count = 0
        for item in prefix_hashes:
            if item not in self._blocks:
                break
            count += 1
        return count
