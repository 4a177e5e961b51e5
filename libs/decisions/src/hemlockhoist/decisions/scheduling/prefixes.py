"""Prompt prefixes that an upstream probably has cached, by hashes of their blocks."""

import collections

# Most blocks recorded for an upstream: about the prefix cache of an engine of a middle
# generation. With some tens of upstreams in a shard this bound keeps the maps within a
# tenth of the host's memory for control.
MAX_BLOCKS = 2_048
# Lower bound of the map's capacity, however small the engine's cache appears to be.
MIN_BLOCKS = 64
# Factors by which the capacity follows the answers. Shrinking is slow, as a prompt that
# is still being computed also counts as a miss for the next one with the same prefix.
_SHRINK_FACTOR = 0.97
_GROWTH_FACTOR = 1.02


class PrefixMap:
    """A bounded map of the blocks that are probably in one upstream's prefix cache.

    It is filled from this home's grants, not from the engines' cache events, which
    arrive late and incomplete. Its capacity follows the cached tokens that answers
    report: an engine with a small cache has evicted blocks that the map still lists.
    """

    __slots__ = ("_blocks", "_max_blocks")

    def __init__(self):
        self._blocks = collections.OrderedDict()
        self._max_blocks = float(MAX_BLOCKS)

    def __len__(self):
        return len(self._blocks)

    def match(self, prefix_hashes):
        """Return how many leading blocks are probably cached.

        Hashes are chained, so a cached block implies that those before it were cached
        when it was computed, and a binary search finds the last one.
        """
        low, high = 0, len(prefix_hashes)
        while low < high:
            middle = (low + high + 1) // 2
            if prefix_hashes[middle - 1] in self._blocks:
                low = middle
            else:
                high = middle - 1
        return low

    def add(self, prefix_hashes):
        """Add the blocks of a prompt that is computed."""
        blocks = self._blocks
        # Longest prefix first, so that the leading blocks, which more prompts share,
        # are evicted last.
        for item in reversed(prefix_hashes):
            blocks[item] = None
            blocks.move_to_end(item)
        self._trim()

    def observe(self, expected_blocks, found_blocks):
        """Adapt the capacity to the number of blocks that the engine found cached."""
        if found_blocks < expected_blocks:
            self._max_blocks = max(float(MIN_BLOCKS), self._max_blocks * _SHRINK_FACTOR)
            self._trim()
        elif expected_blocks:
            self._max_blocks = min(float(MAX_BLOCKS), self._max_blocks * _GROWTH_FACTOR)

    def _trim(self):
        while len(self._blocks) > self._max_blocks:
            self._blocks.popitem(last=False)
