import collections
import unittest

from hemlockhoist.decisions.served_versions import (
    begun_move,
    confirmed_move,
    is_served,
    source_version,
)
from hemlockhoist.decisions.served_versions.tests.builders import ORDER, move, order
from hemlockhoist.decisions.versions import (
    MoveState,
    Standing,
    find_standing,
    finish_move,
    roll_back_move,
)


class SourceTests(unittest.TestCase):
    def test_source_version_is_that_of_most_upstreams(self):
        counts = {"v0": 1, "v1": 4, "v2": 5}
        self.assertEqual(source_version(None, ORDER, counts), "v1")
        self.assertEqual(source_version(None, ORDER, {"v2": 5}), "")

    def test_version_that_was_rolled_back_is_no_source(self):
        """Guards against a move away from a bad version, which then counts as proven.

        It has as many upstreams as the old version, or more, and the greater name.
        """
        row = roll_back_move(move(), ORDER.order_id, "bad", "home")
        for count in (3, 4):
            with self.subTest(count=count):
                deployed = {"v1": 3, "v2": count, "v3": 3}
                found = source_version(row, order(9, "v3"), deployed)
                self.assertEqual(found, "v1")

    def test_version_on_trial_is_no_source_for_the_next_order(self):
        """Guards against a move away from a version that is not proven."""
        deployed = {"v1": 3, "v2": 4, "v3": 3}
        self.assertEqual(source_version(move(), order(9, "v3"), deployed), "v1")

    def test_serving_version_of_the_record_goes_before_more_upstreams(self):
        row = finish_move(move(), ORDER.order_id, "", "", 1, 0)
        deployed = {"v2": 1, "v3": 2, "v4": 3}
        self.assertEqual(source_version(row, order(9, "v4"), deployed), "v2")

    def test_released_version_is_the_source_once_the_recorded_one_is_replaced(self):
        row = finish_move(move(), ORDER.order_id, "", "", 1, 0)
        deployed = {"v3": 2, "v4": 3}
        self.assertEqual(source_version(row, order(9, "v4"), deployed), "v3")


class BegunMoveTests(unittest.TestCase):
    def test_standings_are_handed_on_but_for_that_of_the_ordered_version(self):
        row = roll_back_move(move(), ORDER.order_id, "bad", "home")
        later = begun_move(row, order(9, "v3"), "v1", 5, 10_000)
        halted = find_standing(later.standings, "v2")
        self.assertIs(halted.standing, Standing.HALTED)
        again = begun_move(later, order(12, "v2"), "v1", 9, 10_000)
        self.assertIsNone(find_standing(again.standings, "v2"))
        unproven = find_standing(again.standings, "v3")
        self.assertIs(unproven.standing, Standing.UNPROVEN)

    def test_move_that_goes_on_is_replaced(self):
        row = begun_move(move(), order(9, "v3"), "v1", 5, 10_000)
        self.assertEqual((row.move_id, row.state), ("halls@9", MoveState.RUNNING))
        self.assertEqual((row.from_version, row.to_version), ("v1", "v3"))


class ServedVersionTests(unittest.TestCase):
    """Orders for the version that serves already."""

    def test_order_back_to_the_serving_version_amid_a_move(self):
        """Guards against a move away from the version on trial, which counts as proven."""
        back = order(9, "v1")
        deployed = collections.Counter({"v1": 3, "v2": 3})
        self.assertTrue(is_served(move(), back, deployed))
        row = confirmed_move(move(), back, deployed, 5)
        self.assertIs(row.state, MoveState.FINISHED)
        self.assertEqual(row.serving_version, "v1")
        unproven = find_standing(row.standings, "v2")
        self.assertIs(unproven.standing, Standing.UNPROVEN)

    def test_other_versions_that_served_are_replaced(self):
        back = order(9, "v1")
        deployed = collections.Counter({"v1": 3, "v2": 3, "v4": 1})
        row = confirmed_move(move(), back, deployed, 5)
        replaced = find_standing(row.standings, "v4")
        self.assertIs(replaced.standing, Standing.REPLACED)

    def test_order_back_to_a_replaced_version_is_a_move(self):
        row = finish_move(move(), ORDER.order_id, "", "", 1, 0)
        deployed = collections.Counter({"v1": 3, "v2": 3})
        self.assertFalse(is_served(row, order(9, "v1"), deployed))

    def test_order_for_a_replaced_version_that_alone_is_left(self):
        row = finish_move(move(), ORDER.order_id, "", "", 1, 0)
        deployed = collections.Counter({"v1": 3})
        self.assertTrue(is_served(row, order(9, "v1"), deployed))

    def test_order_for_a_rolled_back_version_is_a_move(self):
        row = roll_back_move(move(), ORDER.order_id, "bad", "home")
        deployed = collections.Counter({"v1": 3, "v2": 3})
        self.assertFalse(is_served(row, order(9, "v2"), deployed))
