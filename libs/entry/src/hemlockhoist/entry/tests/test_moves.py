import types
import unittest

from hemlockhoist.base import (
    PlatformError,
    Refused,
    StoreConflict,
    SuspendAwareClock,
)
from hemlockhoist.decisions.entry import MoveOrder, MoveOrderState
from hemlockhoist.decisions.versions import Move, MoveState
from hemlockhoist.entry.moves import OrderedMoveService
from hemlockhoist.messages import VersionHalted
from hemlockhoist.store import Reading, RowChange, StoreRow


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
        self.status_version = 0
        # Called before a commit is looked at.
        self.before_commit = lambda: None

    async def read(self, table, key, kind):
        if self.fails:
            raise PlatformError("the store is unreachable")
        return types.SimpleNamespace(value=self.row, version=3)

    async def read_table(self, table):
        rows = ()
        if self.status_version:
            value = self.reported[-1].encode() if self.reported else b""
            rows = (StoreRow(key="halls", value=value, version=self.status_version),)
        return Reading(rows=rows, version=9, store_ms=0, sent_ms=0)

    async def commit(self, changes):
        self.before_commit()
        (change,) = changes
        if change.if_version != self.status_version:
            raise StoreConflict("the status has changed")
        self.status_version += 5
        self.reported.append(change.value.decode())


def status_change(order, state):
    return RowChange(table="status", key=order.pool, value=state.value.encode())


class ReportTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.rows = FakeStore(move(MoveState.FINISHED))
        platform = types.SimpleNamespace(store=self.rows, order_status=status_change)
        self.home = None
        context = types.SimpleNamespace(
            clock=SuspendAwareClock(lambda: 0),
            store_view=types.SimpleNamespace(store_now_ms=lambda: 0),
            homes=types.SimpleNamespace(find=lambda pool: self.home),
            platform=platform,
        )
        self.moves = OrderedMoveService(context, self.rows, send=None)
        self.moves.receive_order(order(1))
        self.new_home = FakeController(move(MoveState.RUNNING))

    async def follow(self):
        await self.moves._follow_order(order(1), self.new_home)

    async def test_new_home_does_not_reopen_a_completed_move(self):
        """Guards against reporting a completed move as in progress again."""
        await self.follow()
        self.assertEqual(self.rows.reported, [MoveOrderState.COMPLETED.value])

    async def test_new_home_reports_nothing_while_the_store_is_unreachable(self):
        self.rows.fails = True
        await self.follow()
        self.assertEqual(self.rows.reported, [])

    async def test_late_report_does_not_replace_the_end(self):
        """Guards against "in progress" written over an end that another home reported.

        The row of the move is read while it runs; before the report is written, another
        home ends the move and reports that.
        """
        self.rows.row = move(MoveState.RUNNING)

        def report_end():
            self.rows.row = move(MoveState.FINISHED)
            self.rows.status_version = 17
            self.rows.before_commit = lambda: None

        self.rows.before_commit = report_end
        with self.assertRaises(PlatformError):
            await self.follow()
        self.assertEqual(self.rows.reported, [])
        await self.follow()
        self.assertEqual(self.rows.reported, [MoveOrderState.COMPLETED.value])

    async def test_completed_order_is_not_reported_as_in_progress(self):
        """Guards against a second completion, on which released upstreams are stopped.

        After the completion versions are released, and requests are in flight there.
        """
        scheduler = types.SimpleNamespace(in_flight_besides=lambda version: 0)
        self.home = types.SimpleNamespace(scheduler=scheduler, recovered_ms=30)
        await self.follow()
        scheduler.in_flight_besides = lambda version: 3
        await self.follow()
        other_home = OrderedMoveService(self.moves._context, self.rows, send=None)
        other_home.receive_order(order(1))
        await other_home._follow_order(order(1), self.new_home)
        self.assertEqual(self.rows.reported, [MoveOrderState.COMPLETED.value])

    async def test_next_home_does_not_report_a_rollback_again(self):
        """Guards against a mended version that is drained, as its name was rolled back."""
        self.rows.row = move(MoveState.ROLLED_BACK)
        await self.follow()
        next_home = OrderedMoveService(self.moves._context, self.rows, send=None)
        next_home.receive_order(order(1))
        await next_home._follow_order(order(1), FakeController(self.rows.row))
        self.assertEqual(self.rows.reported, [MoveOrderState.ROLLED_BACK.value])

    async def test_state_is_reported_once(self):
        await self.follow()
        await self.follow()
        self.assertEqual(len(self.rows.reported), 1)

    async def test_home_that_does_not_know_all_grants_reports_no_completion(self):
        """Guards against upstreams that are stopped amid answers to other hosts."""
        scheduler = types.SimpleNamespace(in_flight_besides=lambda version: 0)
        self.home = types.SimpleNamespace(scheduler=scheduler, recovered_ms=None)
        await self.follow()
        self.assertEqual(self.rows.reported, [])
        self.home.recovered_ms = 30
        await self.follow()
        self.assertEqual(self.rows.reported, [MoveOrderState.COMPLETED.value])


class OrderTests(unittest.TestCase):
    def setUp(self):
        self.now_ms = 0
        clock = SuspendAwareClock(lambda: self.now_ms * 1_000_000)
        context = types.SimpleNamespace(clock=clock)
        self.moves = OrderedMoveService(context, rows=None, send=None)

    def receive(self, number, version="v2"):
        self.moves.receive_order(
            MoveOrder(
                order_id=f"halls@{number}",
                pool="halls",
                to_version=version,
                duration_ms=8_000,
                store_version=number,
            )
        )

    def test_older_order_is_ignored(self):
        """Guards against an order that comes back with an older reading."""
        self.receive(14, "v3")
        self.receive(8)
        self.assertEqual(self.moves._orders["halls"].order_id, "halls@14")

    def test_record_is_wanted_where_an_order_is_found_at_the_start(self):
        """Guards against versions that serve before the record of a start was read."""
        self.receive(8)
        self.assertEqual(self.moves._known.wanted(), ("halls",))
        self.assertFalse(self.moves._known.has("halls"))
        self.now_ms = 3_000
        self.assertTrue(self.moves._known.has("halls"))

    def test_first_order_of_a_pool_has_no_record(self):
        """Guards against requests that wait for a record that can't be there."""
        self.moves.uptime.record_reading(0, 0)
        self.now_ms = 500
        self.receive(8)
        self.assertTrue(self.moves._known.has("halls"))
        self.assertEqual(self.moves._known.wanted(), ())

    def test_order_after_a_gap_may_have_a_record(self):
        self.moves.uptime.record_reading(0, 0)
        self.now_ms = 5_000
        self.receive(8)
        self.assertFalse(self.moves._known.has("halls"))


if __name__ == "__main__":
    unittest.main()
