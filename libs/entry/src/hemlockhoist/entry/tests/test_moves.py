import types
import unittest

from hemlockhoist.base import Refused, SuspendAwareClock
from hemlockhoist.decisions.entry import MoveOrder
from hemlockhoist.entry.moves import OrderedMoves
from hemlockhoist.messages import VersionHalted


def order(number):
    """Return the order with that number, always of the same version."""
    return MoveOrder(
        order_id=f"halls@{number}", pool="halls", to_version="v2", duration_ms=8_000
    )


def halt(number):
    """Return what a home tells of a halt under that order."""
    return VersionHalted(
        pool="halls", move_id=f"halls@{number}", version="v2", reason="failed"
    )


class HaltTests(unittest.TestCase):
    def setUp(self):
        context = types.SimpleNamespace(clock=SuspendAwareClock(lambda: 0))
        self.moves = OrderedMoves(context, rows=None, send=None)

    def test_old_halt_shared_after_the_next_order_does_not_stop_it(self):
        """A mended version, ordered again at once, is rolled back untried."""
        self.moves.take_order(order(8))
        self.moves.take_order(order(14))
        self.moves._share_halt("halls", "halls@8", "v2")
        self.moves.check_version("halls", "v2")

    def test_halt_of_an_order_not_heard_of_yet_stops_it(self):
        """A host goes on to send to a halted version until the next halt."""
        self.moves.take_order(order(8))
        self.moves._revoke(halt(14))
        self.moves.take_order(order(14))
        with self.assertRaises(Refused):
            self.moves.check_version("halls", "v2")


if __name__ == "__main__":
    unittest.main()
