import types
import unittest

from hemlockhoist.base import PlatformError, Refused, SuspendAwareClock
from hemlockhoist.decisions.entry import MoveOrder, MoveOrderState
from hemlockhoist.decisions.versions import Move, MoveState
from hemlockhoist.entry.moves import OrderedMoveService
from hemlockhoist.messages import VersionHalted


def order(number):
    """Return the order with the given number, always for the same version."""
    return MoveOrder(
        order_id=f"halls@{number}", pool="halls", to_version="v2", duration_ms=8_000
    )


def halt(number):
    """Return a home's report of a halt under the order with the given number."""
    return VersionHalted(
        pool="halls", move_id=f"halls@{number}", version="v2", reason="failed"
    )


class HaltTests(unittest.TestCase):
    def setUp(self):
        context = types.SimpleNamespace(clock=SuspendAwareClock(lambda: 0))
        self.moves = OrderedMoveService(context, rows=None, send=None)

    def test_halt_of_an_earlier_order_does_not_apply_to_the_next(self):
        """Guards against rolling back a corrected version that is ordered again."""
        self.moves.receive_order(order(8))
        self.moves.receive_order(order(14))
        self.moves._publish_halt("halls", "halls@8", "v2")
        self.moves.check_version("halls", "v2")

    def test_halt_received_before_its_order_applies(self):
        """Guards against sending to a halted version because its order arrived late."""
        self.moves.receive_order(order(8))
        self.moves._revoke(halt(14))
        self.moves.receive_order(order(14))
        with self.assertRaises(Refused):
            self.moves.check_version("halls", "v2")

    def test_halt_holds_as_another_version_is_ordered(self):
        """Guards against grants of a bad version that are used after the next order."""
        self.moves.receive_order(order(8))
        self.moves._revoke(halt(8))
        later = MoveOrder(
            order_id="halls@14", pool="halls", to_version="v3", duration_ms=8_000
        )
        self.moves.receive_order(later)
        with self.assertRaises(Refused):
            self.moves.check_version("halls", "v2")


def move(state):
    """Return the row of the first order's move in the given state."""
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


class FakeController:
    """Holds a row until another one is observed."""

    def __init__(self, row):
        self.row = row

    def record_unix_ms(self, now_ms, unix_ms):
        """Ignored, as nothing here depends on the time of day."""

    def observe_row(self, row, now_ms):
        self.row = row


class FakeStore:
    """A store with one move, which records the states reported to the operators."""

    def __init__(self, row):
        self.row = row
        self.reported = []
        self.fails = False

    async def read(self, table, key, kind):
        if self.fails:
            raise PlatformError("the store is unreachable")
        return types.SimpleNamespace(value=self.row, version=3)

    async def commit(self, changes):
        self.reported += changes


class ReportTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.rows = FakeStore(move(MoveState.FINISHED))
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
        self.new_home = FakeController(move(MoveState.RUNNING))

    async def test_new_home_does_not_reopen_a_completed_move(self):
        """Guards against reporting a completed move as in progress again."""
        await self.moves._follow_order(order(1), self.new_home)
        self.assertEqual(self.rows.reported, [MoveOrderState.COMPLETED])

    async def test_new_home_reports_nothing_while_the_store_is_unreachable(self):
        self.rows.fails = True
        await self.moves._follow_order(order(1), self.new_home)
        self.assertEqual(self.rows.reported, [])


if __name__ == "__main__":
    unittest.main()
