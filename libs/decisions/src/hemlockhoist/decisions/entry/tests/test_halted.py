import doctest
import unittest

import msgspec

from hemlockhoist.decisions.entry import HaltedOrders, halted
from hemlockhoist.decisions.served_versions.tests.builders import ORDER, move
from hemlockhoist.decisions.versions import (
    Standing,
    roll_back_move,
    with_row_standing,
)


class HaltedVersionsTests(unittest.TestCase):
    def test_late_announcement_of_an_old_halt_leaves_the_next_order_in_force(self):
        """Guards against rolling back a fixed version by its previous halt."""
        versions = HaltedOrders()
        versions.record("halls", "v2", "halls@8")
        versions.keep_only("halls", "v2", "halls@14")
        versions.record("halls", "v2", "halls@8")
        self.assertFalse(versions.has("halls", "v2", "halls@14"))

    def test_halt_announced_before_its_order_applies_to_that_order(self):
        """Guards against using a halted version whose order arrived last."""
        versions = HaltedOrders()
        versions.record("halls", "v2", "halls@14")
        self.assertTrue(versions.has("halls", "v2"))
        versions.keep_only("halls", "v2", "halls@14")
        self.assertTrue(versions.has("halls", "v2", "halls@14"))

    def test_halt_ends_as_the_record_trusts_its_version_again(self):
        """Guards against hosts that refuse a mended version long after its release."""
        versions = HaltedOrders()
        versions.record("halls", "v2", "halls@7")
        versions.record("halls", "v2", "halls@9")
        row = roll_back_move(move(), ORDER.order_id, "bad", "home")
        versions.settle(row)
        self.assertTrue(versions.has("halls", "v2", "halls@7"))
        (item,) = row.standings
        item = msgspec.structs.replace(item, standing=Standing.UNPROVEN)
        versions.settle(with_row_standing(row, item))
        self.assertFalse(versions.has("halls", "v2", "halls@7"))
        self.assertTrue(versions.has("halls", "v2", "halls@9"))

    def test_examples(self):
        self.assertEqual(doctest.testmod(halted).failed, 0)


if __name__ == "__main__":
    unittest.main()
