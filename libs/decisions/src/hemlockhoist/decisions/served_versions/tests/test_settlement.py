import unittest

from hemlockhoist.decisions.served_versions import settled_row
from hemlockhoist.decisions.served_versions.tests.builders import (
    ORDER,
    move,
    order,
    presence,
)
from hemlockhoist.decisions.versions import (
    MoveState,
    OwnVerdict,
    Standing,
    find_standing,
    finish_move,
    roll_back_move,
)

LATE_MS = 60_000


def settled(row, known, verdicts=None, now_ms=0):
    return settled_row(row, known, verdicts or {}, now_ms)


def standing_of(row, version):
    found = find_standing(row.standings, version)
    return None if found is None else found.standing


class EndTests(unittest.TestCase):
    def test_move_ends_as_its_new_version_is_gone_after_its_time(self):
        """Guards against a move that goes on as its version is released much later."""
        row = settled(move(), presence(["v1"]), now_ms=LATE_MS)
        self.assertIs(row.state, MoveState.CANCELLED)
        self.assertIs(standing_of(row, "v2"), Standing.UNPROVEN)

    def test_move_goes_on_within_its_time_and_while_its_version_may_return(self):
        self.assertEqual(settled(move(), presence(["v1"]), now_ms=5), move())
        known = presence(["v1"], missing=frozenset({"v2"}))
        self.assertEqual(settled(move(), known, now_ms=LATE_MS), move())
        known = presence(["v1", "v2"])
        self.assertEqual(settled(move(), known, now_ms=LATE_MS), move())


class StandingTests(unittest.TestCase):
    def setUp(self):
        self.halted = roll_back_move(move(), ORDER.order_id, "bad", "home")

    def test_version_found_bad_stays_halted_while_it_is_deployed_or_may_return(self):
        row = settled(self.halted, presence(["v1", "v2"]))
        self.assertEqual(row, self.halted)
        row = settled(self.halted, presence(["v1"], missing=frozenset({"v2"})))
        self.assertEqual(settled(row, presence(["v1", "v2"])), self.halted)

    def test_version_found_bad_that_was_gone_and_is_back_is_unproven(self):
        """Guards against a mended version, released later, that is refused for good."""
        row = settled(self.halted, presence(["v1"]))
        self.assertIs(standing_of(row, "v2"), Standing.HALTED)
        row = settled(row, presence(["v1", "v2"]))
        self.assertIs(standing_of(row, "v2"), Standing.UNPROVEN)

    def test_replaced_version_that_is_gone_serves_when_it_is_released_again(self):
        """Guards against a release back that gets nothing until the last step."""
        row = finish_move(move(), ORDER.order_id, "", "", 1, 0)
        row = settled(row, presence(["v2"]))
        self.assertIsNone(standing_of(row, "v1"))

    def test_replaced_version_stays_so_while_it_is_deployed(self):
        row = finish_move(move(), ORDER.order_id, "", "", 1, 0)
        self.assertEqual(settled(row, presence(["v1", "v2"])), row)

    def test_unproven_version_is_settled_by_its_own_trial(self):
        row = move("v1", order(9, "v3"), move())
        known = presence(["v2", "v3"])
        proven = settled(row, known, {"v2": OwnVerdict.PROVEN})
        self.assertIs(standing_of(proven, "v2"), Standing.PROVEN)
        bad = settled(row, known, {"v2": OwnVerdict.BAD})
        self.assertIs(standing_of(bad, "v2"), Standing.HALTED)

    def test_each_change_has_a_later_revision(self):
        """Guards against hosts that ignore what changed, as the state is the same."""
        row = settled(self.halted, presence(["v1"]))
        self.assertGreater(row.revision, self.halted.revision)
