"""A fake store: one versioned row with compare-and-set, outages and lost answers."""

import enum

from hemlockhoist.declarations import Customer, Declarations


class WriteResult(enum.Enum):
    """The result of a compare-and-set, as the writer sees it."""

    DONE = "done"
    CONFLICT = "conflict"
    LOST = "lost"
    DOWN = "down"


class FaultyTable:
    """A table with one row and injectable faults.

    Attributes
    ==========
    row : Declarations
        Its only customer is named after the change that wrote it.
    is_up : bool
    loses_answers : bool
        Whether writes take effect without an answer.
    serves_stale : bool
        Whether reads return the row before the last write.
    """

    __slots__ = ("_previous", "is_up", "loses_answers", "row", "serves_stale")

    def __init__(self):
        self.row = make_declarations(1, "first")
        self.is_up = True
        self.loses_answers = False
        self.serves_stale = False
        self._previous = self.row

    def read(self):
        """Return the row, the previous one if reads are stale, or None in an outage."""
        if not self.is_up:
            return None
        return self._previous if self.serves_stale else self.row

    def write(self, expected_version, declarations):
        """Replace the row if it has ``expected_version``; return a ``WriteResult``."""
        if not self.is_up:
            return WriteResult.DOWN
        if self.row.version != expected_version:
            return WriteResult.LOST if self.loses_answers else WriteResult.CONFLICT
        self._previous = self.row
        self.row = declarations
        return WriteResult.LOST if self.loses_answers else WriteResult.DONE


def make_declarations(version, change):
    """Return declarations with one customer named after the change."""
    customer = Customer(name=change, highest_tier="gold", max_in_flight=1)
    return Declarations(version=version, customers=(customer,))
