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
    def test_concurrent_move_in_opposite_direction_is_refused(self):
        """Guards against two operators moving a pool back and forth at the same time.

        Both read the row before either writes. The second compare-and-set fails, and
        the retry on the new row must raise a conflict.
        """
        row = start_move(None, request(), 1_000)
        with self.assertRaises(MoveError) as caught:
            start_move(row, request("m2", "v2", "v1"), 1_001)
        self.assertEqual(caught.exception.code, ResultCode.MOVE_CONFLICT)

    def test_retry_after_a_lost_response_returns_the_same_row(self):
        row = start_move(None, request(), 1_000)
        self.assertIs(start_move(row, request(), 5_000), row)

    def test_next_move_must_start_from_the_serving_version(self):
        row = start_move(None, request(), 1_000)
        done = finish_move(row, "m1", "done", "hemlockhoist", 3, 9_000)
        with self.assertRaises(MoveError):
            start_move(done, request("m2"), 2_000)
        back = start_move(done, request("m2", "v2", "v1"), 2_000)
        self.assertEqual((back.state, back.fencing), (MoveState.RUNNING, 3))

    def test_next_move_knows_that_the_pool_gets_idempotent_calls(self):
        """Guards against a new move that takes its pool for one without lookups."""
        row = start_move(None, request(), 1_000)
        self.assertFalse(row.has_idempotent_calls)
        lanes = (LaneShare(route="GET /x", idempotent=True, share_permille=50),)
        widened = widen_move(row, "m1", lanes, 1)
        back = roll_back_move(widened, "m1", "slow", "hemlockhoist")
        second = start_move(back, request("m2"), 2_000)
        self.assertTrue(second.has_idempotent_calls)
        again = roll_back_move(second, "m2", "slow", "hemlockhoist")
        third = start_move(again, request("m3"), 3_000)
        self.assertTrue(third.has_idempotent_calls)

    def test_invalid_requests_are_refused(self):
        for bad in (
            request(to_version="v1"),
            request(moved_by=1_000),
            msgspec.structs.replace(request(), reason=" "),
        ):
            with self.subTest(bad=bad), self.assertRaises(MoveError) as caught:
                start_move(None, bad, 1_000)
            self.assertEqual(caught.exception.code, ResultCode.DECLARATION_INVALID)


class TransitionTest(unittest.TestCase):
    def setUp(self):
        self.row = start_move(None, request(), 1_000)
        self.lanes = (LaneShare(route="GET /x", idempotent=True, share_permille=50),)

    def test_expired_lease_holder_cannot_widen(self):
        """Guards against a write by a home that was suspended past its lease.

        On resuming, it still assumes that it holds the lease. The row has the fencing
        token of its successor, so the late write is rejected.
        """
        row = widen_move(self.row, "m1", self.lanes, 8)
        self.assertEqual((row.share_permille, row.fencing), (50, 8))
        with self.assertRaises(LeaseLost):
            widen_move(row, "m1", self.lanes, 7)
        with self.assertRaises(LeaseLost):
            finish_move(row, "m1", "done", "hemlockhoist", 7, 9_000)

    def test_rolling_back_needs_no_lease_and_is_final(self):
        row = finish_move(self.row, "m1", "done", "hemlockhoist", 8, 9_000)
        row = roll_back_move(row, "m1", "fails", "hemlockhoist")
        self.assertEqual(row.state, MoveState.ROLLED_BACK)
        self.assertEqual(row.serving_version, "v1")
        self.assertIs(roll_back_move(row, "m1", "again", "x"), row)
        with self.assertRaises(MoveError):
            widen_move(row, "m1", self.lanes, 9)
        with self.assertRaises(MoveError):
            cancel_move(row, "m1", "no", "operator")

    def test_cancelling_is_idempotent_and_checks_the_move_id(self):
        row = cancel_move(self.row, "m1", "wrong pool", "operator")
        self.assertEqual((row.state, row.author), (MoveState.CANCELLED, "operator"))
        self.assertIs(cancel_move(row, "m1", "again", "operator"), row)
        with self.assertRaises(MoveError) as caught:
            cancel_move(row, "m0", "no", "operator")
        self.assertEqual(caught.exception.code, ResultCode.MOVE_UNKNOWN)

    def test_row_round_trips_through_encoding(self):
        row = widen_move(self.row, "m1", self.lanes, 8)
        data = msgspec.msgpack.encode(row)
        self.assertEqual(msgspec.msgpack.decode(data, type=Move), row)
