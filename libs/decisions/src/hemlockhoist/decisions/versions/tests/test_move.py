import unittest

import msgspec

from hemlockhoist.base import LeaseLost, MoveError, ResultCode
from hemlockhoist.decisions.versions import (
    LaneShare,
    Move,
    MoveRequest,
    MoveState,
    cancel_move,
    finish_move,
    roll_back_move,
    start_move,
    widen_move,
)


def request(move_id="m1", from_version="v1", to_version="v2", moved_by=9_000):
    return MoveRequest(
        move_id=move_id,
        pool="label-registry",
        from_version=from_version,
        to_version=to_version,
        moved_by_unix_ms=moved_by,
        reason="new label layout",
        author="operator",
    )


class StartTest(unittest.TestCase):
    def test_two_operators_in_opposite_directions(self):
        """One operator moves a pool to v2 while another moves it back to v1.

        Both read the row before either wrote. The second write is refused by the
        table service; its host reads again and finds the first move under way. The
        second operator is told of it, instead of traffic swinging to and fro.
        """
        row = start_move(None, request(), 1_000)
        with self.assertRaises(MoveError) as caught:
            start_move(row, request("m2", "v2", "v1"), 1_001)
        self.assertEqual(caught.exception.code, ResultCode.MOVE_CONFLICT)

    def test_repeated_order_after_a_lost_answer_changes_nothing(self):
        row = start_move(None, request(), 1_000)
        self.assertIs(start_move(row, request(), 5_000), row)

    def test_after_the_end_a_move_starts_from_the_version_that_serves(self):
        row = start_move(None, request(), 1_000)
        done = finish_move(row, "m1", "done", "hemlockhoist", 3, 9_000)
        with self.assertRaises(MoveError):
            start_move(done, request("m2"), 2_000)
        back = start_move(done, request("m2", "v2", "v1"), 2_000)
        self.assertEqual((back.state, back.fencing), (MoveState.RUNNING, 3))

    def test_senseless_orders_are_refused(self):
        for bad in (
            request(to_version="v1"),
            request(moved_by=1_000),
            msgspec.structs.replace(request(), reason=" "),
        ):
            with self.subTest(bad=bad), self.assertRaises(MoveError) as caught:
                start_move(None, bad, 1_000)
            self.assertEqual(caught.exception.code, ResultCode.DECLARATION_INVALID)


class ChangeTest(unittest.TestCase):
    def setUp(self):
        self.row = start_move(None, request(), 1_000)
        self.lanes = (LaneShare(route="GET /x", idempotent=True, share_permille=50),)

    def test_a_paused_holder_may_not_widen(self):
        """A home is frozen past its lease; its successor takes the move over.

        When the first home wakes it still believes in its lease and widens. The row
        carries the successor's fencing number, so the late write is refused.
        """
        row = widen_move(self.row, "m1", self.lanes, 8)
        self.assertEqual((row.share_permille, row.fencing), (50, 8))
        with self.assertRaises(LeaseLost):
            widen_move(row, "m1", self.lanes, 7)
        with self.assertRaises(LeaseLost):
            finish_move(row, "m1", "done", "hemlockhoist", 7, 9_000)

    def test_taking_back_asks_for_no_lease_and_is_final(self):
        row = finish_move(self.row, "m1", "done", "hemlockhoist", 8, 9_000)
        row = roll_back_move(row, "m1", "fails", "hemlockhoist")
        self.assertEqual(row.state, MoveState.ROLLED_BACK)
        self.assertEqual(row.serving_version, "v1")
        self.assertIs(roll_back_move(row, "m1", "again", "x"), row)
        with self.assertRaises(MoveError):
            widen_move(row, "m1", self.lanes, 9)
        with self.assertRaises(MoveError):
            cancel_move(row, "m1", "no", "operator")

    def test_cancelling(self):
        row = cancel_move(self.row, "m1", "wrong pool", "operator")
        self.assertEqual((row.state, row.author), (MoveState.CANCELLED, "operator"))
        self.assertIs(cancel_move(row, "m1", "again", "operator"), row)
        with self.assertRaises(MoveError) as caught:
            cancel_move(row, "m0", "no", "operator")
        self.assertEqual(caught.exception.code, ResultCode.MOVE_UNKNOWN)

    def test_the_row_survives_encoding(self):
        row = widen_move(self.row, "m1", self.lanes, 8)
        data = msgspec.msgpack.encode(row)
        self.assertEqual(msgspec.msgpack.decode(data, type=Move), row)
