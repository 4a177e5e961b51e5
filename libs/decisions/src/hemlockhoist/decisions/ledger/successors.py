"""Successors: the incarnations that took over the ledgers of hosts that left."""

import collections

# Far more than the hosts that leave within a key's retention; about 150 bytes each.
MAX_SUCCESSORS = 4_096
_MAX_HOPS = 16


class SuccessorMap:
    """Maps incarnations to their successors, bounded in size and chain length.

    Parameters
    ==========
    incarnation : str
        Incarnation of this host.
    """

    __slots__ = ("_incarnation", "_successors")

    def __init__(self, incarnation):
        self._incarnation = incarnation
        self._successors = collections.OrderedDict()

    @classmethod
    def from_config(cls, incarnation):
        """Return an empty map."""
        return cls(incarnation)

    def register(self, incarnation, successor):
        """Register the successor of an incarnation; later ones are ignored."""
        if incarnation == successor or incarnation in self._successors:
            return
        self._successors[incarnation] = successor
        if len(self._successors) > MAX_SUCCESSORS:
            self._successors.popitem(last=False)

    def resolve(self, incarnation):
        """Return the last known successor in the chain, or ``incarnation`` itself."""
        for _ in range(_MAX_HOPS):
            if incarnation not in self._successors:
                return incarnation
            incarnation = self._successors[incarnation]
        return incarnation
