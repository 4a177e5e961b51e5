"""Grow-only set of the versions that were rolled back, merged from any peer."""

import msgspec
import xxhash


class HaltedSet:
    """Grow-only set of ``HaltedVersion`` with a hash for comparison.

    It needs neither the store nor an order of messages: any host that finds a version
    faulty adds it, and merging in any order, late or twice gives the same set. A new
    move of the same version has a new move id, so an old entry never blocks it.
    """

    __slots__ = ("_halted", "hash")

    def __init__(self):
        self._halted = set()
        self.hash = 0

    def __len__(self):
        return len(self._halted)

    def __contains__(self, halted):
        return halted in self._halted

    def add(self, halted):
        """Add a halted version and return whether it is new."""
        if halted in self._halted:
            return False
        self._halted.add(halted)
        encoded = msgspec.msgpack.encode(halted)
        self.hash ^= xxhash.xxh3_64_intdigest(encoded) >> 1
        return True

    def merge(self, items):
        """Add several halted versions and return a tuple of the new ones."""
        return tuple(item for item in items if self.add(item))

    def items(self):
        """Return the set as a sorted tuple."""
        return tuple(sorted(self._halted, key=lambda h: (h.pool, h.move_id, h.version)))
