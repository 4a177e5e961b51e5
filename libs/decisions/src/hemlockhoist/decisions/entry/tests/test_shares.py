import unittest

from hypothesis import given
from hypothesis import strategies as st

from hemlockhoist.decisions.entry import PoolChooser
from hemlockhoist.declarations import PoolShare


class ChooserTests(unittest.TestCase):
    @given(st.lists(st.integers(1, 100), min_size=1, max_size=5), st.integers(1, 300))
    def test_each_pool_stays_close_to_its_share(self, weights, count):
        shares = tuple(
            PoolShare(pool=str(number), weight=weight)
            for number, weight in enumerate(weights)
        )
        chooser = PoolChooser()
        chosen = [chooser.choose("route", shares) for _ in range(count)]
        for share in shares:
            expected = count * share.weight / sum(weights)
            self.assertLess(abs(chosen.count(share.pool) - expected), len(weights))

    def test_pool_without_weight_gets_no_requests(self):
        shares = (PoolShare(pool="a", weight=1), PoolShare(pool="b", weight=0))
        chooser = PoolChooser()
        self.assertEqual({chooser.choose("r", shares) for _ in range(20)}, {"a"})

    def test_pool_removed_from_a_route_keeps_no_credit(self):
        chooser = PoolChooser()
        chooser.choose(
            "r", (PoolShare(pool="a", weight=1), PoolShare(pool="b", weight=9))
        )
        self.assertEqual(chooser.choose("r", (PoolShare(pool="a", weight=1),)), "a")
        chooser.forget([])
        shares = (PoolShare(pool="a", weight=2), PoolShare(pool="b", weight=1))
        self.assertEqual(chooser.choose("r", shares), "a")
