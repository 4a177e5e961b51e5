import unittest

from hemlockhoist.decisions.served_versions import (
    SupersededOrders,
    VersionRole,
    VersionRoles,
    accepted_row,
    source_version,
)
from hemlockhoist.decisions.served_versions.tests.builders import (
    ORDER,
    move,
    order,
    presence,
)
from hemlockhoist.decisions.versions import (
    MoveState,
    Standing,
    find_standing,
    finish_move,
    roll_back_move,
)


def source(row, given, deployed):
    """Return the version that an order moves away from."""
    known = presence(deployed)
    return source_version(given, VersionRoles(row, given, known), known)


def accepted(row, given, known):
    """Return the row with which an order begins, or None."""
    return accepted_row(row, given, known, 5, 10_000)


def standing_of(row, version):
    """Return the standing of a version in a row, or None."""
    found = find_standing(row.standings, version)
    return None if found is None else found.standing


class SourceTests(unittest.TestCase):
    def test_source_version_is_that_of_most_upstreams(self):
        counts = {"v0": 1, "v1": 4, "v2": 5}
        self.assertEqual(source(None, ORDER, counts), "v1")
        self.assertEqual(source(None, ORDER, {"v2": 5}), "")

    def test_version_that_was_rolled_back_is_no_source(self):
        """Guards against a move away from a bad version, which then counts as proven.

        It has as many upstreams as the old version, or more, and the greater name.
        """
        row = roll_back_move(move(), ORDER.order_id, "bad", "home")
        for count in (3, 4):
            with self.subTest(count=count):
                deployed = {"v1": 3, "v2": count, "v3": 3}
                self.assertEqual(source(row, order(9, "v3"), deployed), "v1")

    def test_version_on_trial_is_no_source_for_the_next_order(self):
        """Guards against a move away from a version that is not proven."""
        deployed = {"v1": 3, "v2": 4, "v3": 3}
        self.assertEqual(source(move(), order(9, "v3"), deployed), "v1")

    def test_serving_version_of_the_record_goes_before_more_upstreams(self):
        row = finish_move(move(), ORDER.order_id, "", "", 1, 0)
        deployed = {"v2": 1, "v3": 2, "v4": 3}
        self.assertEqual(source(row, order(9, "v4"), deployed), "v2")

    def test_released_version_is_the_source_once_the_recorded_one_is_replaced(self):
        row = finish_move(move(), ORDER.order_id, "", "", 1, 0)
        deployed = {"v3": 2, "v4": 3}
        self.assertEqual(source(row, order(9, "v4"), deployed), "v3")


class AcceptedRowTests(unittest.TestCase):
    def test_standings_are_handed_on_but_for_that_of_the_ordered_version(self):
        row = roll_back_move(move(), ORDER.order_id, "bad", "home")
        later = accepted(row, order(9, "v3"), presence(["v1", "v2", "v3"]))
        self.assertIs(standing_of(later, "v2"), Standing.HALTED)
        again = accepted(later, order(12, "v2"), presence(["v1", "v2", "v3"]))
        self.assertIsNone(standing_of(again, "v2"))
        self.assertIs(standing_of(again, "v3"), Standing.UNPROVEN)

    def test_move_that_goes_on_is_replaced(self):
        row = accepted(move(), order(9, "v3"), presence(["v1", "v2", "v3"]))
        self.assertEqual((row.move_id, row.state), ("halls@9", MoveState.RUNNING))
        self.assertEqual((row.from_version, row.to_version), ("v1", "v3"))

    def test_row_of_an_order_that_has_begun_stays(self):
        row = move()
        self.assertIs(accepted(row, ORDER, presence(["v1", "v2"])), row)


class ServedVersionTests(unittest.TestCase):
    """Orders for the version that serves already."""

    def test_order_back_to_the_serving_version_amid_a_move(self):
        """Guards against a move away from the version on trial, which counts as proven."""
        row = accepted(move(), order(9, "v1"), presence(["v1", "v2"]))
        self.assertIs(row.state, MoveState.FINISHED)
        self.assertEqual(row.serving_version, "v1")
        self.assertIs(standing_of(row, "v2"), Standing.UNPROVEN)

    def test_other_versions_that_served_are_replaced(self):
        row = accepted(move(), order(9, "v1"), presence(["v1", "v2", "v4"]))
        self.assertIs(standing_of(row, "v4"), Standing.REPLACED)

    def test_order_back_to_a_replaced_version_is_a_move(self):
        row = finish_move(move(), ORDER.order_id, "", "", 1, 0)
        row = accepted(row, order(9, "v1"), presence(["v1", "v2"]))
        self.assertIs(row.state, MoveState.RUNNING)

    def test_order_for_a_replaced_version_that_alone_is_left(self):
        row = finish_move(move(), ORDER.order_id, "", "", 1, 0)
        row = accepted(row, order(9, "v1"), presence(["v1"]))
        self.assertIs(row.state, MoveState.FINISHED)

    def test_order_for_a_rolled_back_version_is_a_move(self):
        row = roll_back_move(move(), ORDER.order_id, "bad", "home")
        row = accepted(row, order(9, "v2"), presence(["v1", "v2"]))
        self.assertIs(row.state, MoveState.RUNNING)


class OutageTests(unittest.TestCase):
    """Orders amid the return of entries that have expired in an outage."""

    def test_ordered_version_alone_is_not_completed_while_another_may_return(self):
        """Guards against upstreams that are stopped though they serve all along."""
        waiting = (
            presence(["v2"], missing=frozenset({"v1"})),
            presence(["v2"], is_settled=False),
            presence([], is_settled=False),
        )
        for known in waiting:
            with self.subTest(known=known):
                self.assertIsNone(accepted(None, ORDER, known))

    def test_recorded_version_is_waited_for_where_it_was_never_listed(self):
        """Guards against the same at a host that started amid the outage."""
        row = finish_move(move(), ORDER.order_id, "", "", 1, 0)
        known = presence(["v3"], is_settled=False)
        self.assertIsNone(accepted(row, order(9, "v3"), known))

    def test_version_that_is_known_to_be_alone_is_completed(self):
        row = accepted(None, ORDER, presence(["v2"], gone=frozenset({"v1"})))
        self.assertIs(row.state, MoveState.FINISHED)
        self.assertEqual(row.serving_version, "v2")

    def test_move_begins_while_one_of_two_serving_versions_is_missing(self):
        known = presence(["v1", "v2"], missing=frozenset({"v0"}))
        row = accepted(None, ORDER, known)
        self.assertEqual((row.from_version, row.state), ("v1", MoveState.RUNNING))


class SupersededOrderTests(unittest.TestCase):
    """Orders that a later one replaced before a row told of them."""

    def setUp(self):
        # Listed after the first order, and before the second.
        self.known = presence(["v1", "v2"], {"v1": 1, "v2": 8})
        self.superseded = {"v2": ORDER.order_id}

    def accepted(self, given, superseded):
        return accepted_row(None, given, self.known, 5, 10_000, superseded)

    def test_version_of_a_superseded_order_is_no_source(self):
        """Guards against a move away from a version of which no row tells."""
        row = self.accepted(order(9, "v3"), self.superseded)
        self.assertEqual((row.from_version, row.to_version), ("v1", "v3"))
        self.assertIs(standing_of(row, "v2"), Standing.UNPROVEN)

    def test_order_back_to_the_serving_version(self):
        row = self.accepted(order(9, "v1"), self.superseded)
        self.assertEqual(row.serving_version, "v1")
        self.assertIs(standing_of(row, "v2"), Standing.UNPROVEN)

    def test_version_that_is_ordered_again_is_withheld(self):
        """Guards against a version that serves as its first order has no row."""
        again = order(9, "v2")
        roles = VersionRoles(None, again, self.known, self.superseded)
        self.assertIs(roles.of("v2"), VersionRole.WITHHELD)
        self.assertIs(roles.of("v1"), VersionRole.SERVING)
        row = self.accepted(again, self.superseded)
        self.assertIs(row.state, MoveState.RUNNING)

    def test_orders_are_forgotten_once_a_row_tells_of_their_versions(self):
        orders = SupersededOrders()
        orders.replace(ORDER, is_older=False)
        self.assertEqual(orders.of_pool("halls"), self.superseded)
        orders.settle(self.accepted(order(9, "v3"), {}))
        self.assertEqual(orders.of_pool("halls"), self.superseded)
        orders.settle(self.accepted(order(9, "v3"), self.superseded))
        self.assertEqual(orders.of_pool("halls"), {})

    def test_version_that_served_before_its_order_is_not_superseded(self):
        orders = SupersededOrders()
        orders.replace(ORDER, is_older=True)
        self.assertEqual(orders.of_pool("halls"), {})
