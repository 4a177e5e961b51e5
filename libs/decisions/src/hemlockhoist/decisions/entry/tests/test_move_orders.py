import unittest

from hemlockhoist.decisions.entry import (
    MoveOrder,
    MoveOrderState,
    order_state,
)
from hemlockhoist.decisions.versions import (
    MoveRequest,
    MoveState,
    roll_back_move,
    start_move,
)

ORDER = MoveOrder(order_id="halls@7", pool="halls", to_version="v2", duration_ms=12_000)


def move(**fields):
    request = MoveRequest(
        move_id=ORDER.order_id,
        pool="halls",
        from_version="v1",
        to_version="v2",
        moved_by_unix_ms=10_000,
        reason="ordered",
        author="operator",
    )
    return start_move(None, request, 0)


class OrderStateTests(unittest.TestCase):
    def test_completion_is_reported_when_the_old_version_is_idle(self):
        """Guards against stopping old upstreams while answers are in progress."""
        row = move()
        self.assertIs(order_state(row, 0), MoveOrderState.IN_PROGRESS)
        row = type(row)(**{**_fields(row), "state": MoveState.FINISHED})
        self.assertIs(order_state(row, 2), MoveOrderState.IN_PROGRESS)
        self.assertIs(order_state(row, 0), MoveOrderState.COMPLETED)

    def test_move_that_was_rolled_back(self):
        row = roll_back_move(move(), ORDER.order_id, "bad", "home")
        self.assertIs(order_state(row, 3), MoveOrderState.ROLLED_BACK)


def _fields(row):
    return {name: getattr(row, name) for name in row.__struct_fields__}
