import types
import unittest

from hemlockhoist.base import PlatformError, Refused, SuspendAwareClock
from hemlockhoist.decisions.entry import MoveOrder, OrderState
from hemlockhoist.decisions.versions import Move, MoveState
from hemlockhoist.entry.moves import OrderedMoveService
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
        self.moves = OrderedMoveService(context, rows=None, send=None)

    def test_old_halt_shared_after_the_next_order_does_not_stop_it(self):
        """A mended version, ordered again at once, is rolled back untried."""
        self.moves.receive_order(order(8))
        self.moves.receive_order(order(14))
        self.moves._publish_halt("halls", "halls@8", "v2")
        self.moves.check_version("halls", "v2")

    def test_halt_of_an_order_not_heard_of_yet_stops_it(self):
        """A host goes on to send to a halted version until the next halt."""
        self.moves.receive_order(order(8))
        self.moves._revoke(halt(14))
        self.moves.receive_order(order(14))
        with self.assertRaises(Refused):
            self.moves.check_version("halls", "v2")


def move(state):
    """Return the row of the move of the first order."""
    return Move(
        move_id="halls@1",
        pool="halls",
        from_version="v1",
        to_version="v2",
        started_unix_ms=0,
        moved_by_unix_ms=8_000,
        reason="ordered by an operator",
        author="hemlockhoist",
        state=state,
    )


class KnowingController:
    """Knows a row until it is told of another."""

    def __init__(self, row):
        self.row = row

    def record_unix_ms(self, now_ms, unix_ms):
        """Nothing here depends on dates."""

    def observe_row(self, row, now_ms):
        self.row = row


class Rows:
    """A store with one move, and what was written to it for the operators."""

    def __init__(self, row):
        self.row = row
        self.told = []
        self.fails = False

    async def read(self, table, key, kind):
        if self.fails:
            raise PlatformError("the store is away")
        return types.SimpleNamespace(value=self.row, version=3)

    async def commit(self, changes):
        self.told += changes


class TellingTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.rows = Rows(move(MoveState.FINISHED))
        platform = types.SimpleNamespace(
            store=self.rows, order_status=lambda order, state: state
        )
        context = types.SimpleNamespace(
            clock=SuspendAwareClock(lambda: 0),
            store_view=types.SimpleNamespace(store_now_ms=lambda: 0),
            homes=types.SimpleNamespace(find=lambda pool: None),
            platform=platform,
        )
        self.moves = OrderedMoveService(context, self.rows, send=None)
        self.moves.receive_order(order(1))
        self.heir = KnowingController(move(MoveState.RUNNING))

    async def test_heir_of_a_home_does_not_take_the_end_of_a_move_back(self):
        """Operators read "in progress" of a move that they were told is completed."""
        await self.moves._follow(order(1), self.heir)
        self.assertEqual(self.rows.told, [OrderState.COMPLETED])

    async def test_heir_tells_nothing_while_the_store_is_away(self):
        self.rows.fails = True
        await self.moves._follow(order(1), self.heir)
        self.assertEqual(self.rows.told, [])


if __name__ == "__main__":
    unittest.main()
