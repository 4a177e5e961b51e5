"""A bounded cache of prompt prefixes, keyed by block hash; it performs no I/O."""

import collections


class PrefixCache:
    """Caches block hashes; evicts the least recently used block first.

    Parameters
    ==========
    max_blocks : int
    """

    __slots__ = ("_blocks", "_max_blocks")

    def __init__(self, max_blocks):
        self._blocks = collections.OrderedDict()
        self._max_blocks = max_blocks

    def __len__(self):
        return len(self._blocks)

    def match(self, hashes):
        """Return the number of leading blocks that are cached; mark them as used.

        Parameters
        ==========
        hashes : sequence of int
            Chained block hashes, shortest prefix first.
        """
        count = 0
        for block in hashes:
            if block not in self._blocks:
                break
            count += 1
        self._touch(hashes[:count])
        return count

    def store(self, hashes):
        """Cache the blocks; return the hashes added and those evicted."""
        kept = hashes[: self._max_blocks]
        stored = tuple(block for block in kept if block not in self._blocks)
        for block in stored:
            self._blocks[block] = None
        self._touch(kept)
        removed = []
        while len(self._blocks) > self._max_blocks:
            removed.append(self._blocks.popitem(last=False)[0])
        return stored, tuple(removed)

    def _touch(self, hashes):
        # Longest prefix first, as a block is useless once a shorter one is evicted.
        for block in reversed(hashes):
            self._blocks.move_to_end(block)
