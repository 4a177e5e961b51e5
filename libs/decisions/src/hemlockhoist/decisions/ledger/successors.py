"""Which incarnation has taken over the ledger of one that left."""

import collections

# Far more hosts than leave within a key's retention; about 150 bytes each.
MAX_SUCCESSORS = 4_096
_MAX_HOPS = 16


class SuccessorMap:
    """Follows a chain of successors, bounded in size and length.

    Parameters
    ==========
    incarnation : str
        Of this host.
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
        """Remember a successor; the first one named is the only one."""
        if incarnation == successor or incarnation in self._successors:
            return
        self._successors[incarnation] = successor
        if len(self._successors) > MAX_SUCCESSORS:
            self._successors.popitem(last=False)

    def resolve(self, incarnation):
        """Return the last known successor, or the incarnation itself."""
        for _ in range(_MAX_HOPS):
            if incarnation not in self._successors:
                return incarnation
            incarnation = self._successors[incarnation]
        return incarnation
