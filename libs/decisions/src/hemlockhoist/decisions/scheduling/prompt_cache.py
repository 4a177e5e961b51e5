"""Estimate of which prefix blocks of prompts each upstream has cached."""

import collections

# Shorter cached prefixes are ignored. Blocks that all requests share are cached
# everywhere, and saving a few tokens must not determine the choice of an upstream.
MIN_CACHED_TOKENS = 256
# Assumed capacity of engines that do not declare theirs.
DEFAULT_CAPACITY_TOKENS = 100_000


class PromptCache:
    """The prefix blocks that each upstream has probably cached.

    An engine evicts the least recently used blocks when its cache is full, and does not
    recompute a cached block. It does not report which blocks it has: they are derived
    from the requests that were granted to it.

    Parameters
    ==========
    capacity_tokens : int
        Cache capacity of one upstream; 0 if it is not declared.

    Examples
    ========
    >>> from hemlockhoist.decisions.scheduling.prompt_cache import PromptCache
    >>> cache = PromptCache(capacity_tokens=1_000)
    >>> cache.record("u1", (11, 12), (300, 400))
    >>> cache.cached_tokens((11, 12), (300, 400))
    {'u1': 700}
    >>> cache.cached_tokens((11, 13), (300, 500))
    {'u1': 300}
    >>> cache.record("u1", (21,), (600,))
    >>> cache.cached_tokens((11, 12), (300, 400))
    {'u1': 300}
    """

    __slots__ = ("_blocks", "_capacity", "_holders", "_tokens")

    def __init__(self, capacity_tokens):
        self._capacity = capacity_tokens or DEFAULT_CAPACITY_TOKENS
        # By upstream, its blocks with their token counts, least recently used first.
        self._blocks = {}
        self._tokens = collections.Counter()
        # By block, the upstreams that have it cached.
        self._holders = {}

    def record(self, upstream_id, hashes, tokens):
        """Record that a prompt is sent to an upstream.

        Parameters
        ==========
        upstream_id : str
        hashes : sequence of int
            Of the prompt's leading blocks, each chained to those before it.
        tokens : sequence of int
            Number of tokens of each of these blocks.
        """
        blocks = self._blocks.setdefault(upstream_id, collections.OrderedDict())
        # A block is useless without those before it, so later blocks are evicted first.
        for block, count in zip(reversed(hashes), reversed(tokens), strict=True):
            if block not in blocks:
                self._tokens[upstream_id] += count
                self._holders.setdefault(block, set()).add(upstream_id)
                blocks[block] = count
            blocks.move_to_end(block)
        while self._tokens[upstream_id] > self._capacity and blocks:
            self._drop(upstream_id, next(iter(blocks)))

    def cached_tokens(self, hashes, tokens):
        """Return how many leading tokens of a prompt each upstream has cached.

        Returns
        =======
        dict of str to int
            By upstream id; without upstreams that have less than ``MIN_CACHED_TOKENS``.
        """
        cached = {}
        total = sum(tokens)
        for block, count in zip(reversed(hashes), reversed(tokens), strict=True):
            if total < MIN_CACHED_TOKENS:
                break
            for upstream_id in self._holders.get(block, ()):
                cached.setdefault(upstream_id, total)
            total -= count
        return cached

    def forget(self, upstream_id):
        """Forget an upstream that is gone or was restarted."""
        for block in list(self._blocks.get(upstream_id, ())):
            self._drop(upstream_id, block)
        self._blocks.pop(upstream_id, None)
        self._tokens.pop(upstream_id, None)

    def _drop(self, upstream_id, block):
        self._tokens[upstream_id] -= self._blocks[upstream_id].pop(block)
        holders = self._holders[block]
        holders.discard(upstream_id)
        if not holders:
            del self._holders[block]
