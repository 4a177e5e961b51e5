import doctest
import unittest

from hypothesis import given
from hypothesis import strategies as st

from hemlockhoist.decisions.limits import partition_share, partitions


class SharesTests(unittest.TestCase):
    @given(st.lists(st.integers(1, 12), min_size=1, max_size=8))
    def test_sides_of_any_cut_give_out_no_more_than_the_whole(self, sizes):
        """A customer runs several times its bound while hosts are cut off."""
        known = sum(sizes)
        total = sum(partition_share(size, known, is_home=True) for size in sizes)
        self.assertLessEqual(total, 1.0 + 1e-9)

    @given(st.integers(1, 40), st.integers(0, 40))
    def test_hosts_that_decide_alone_fit_beside_the_home(self, heard, cut):
        known = heard + cut
        total = partition_share(heard, known, is_home=True)
        total += cut * partition_share(1, known, is_home=False)
        self.assertLessEqual(total, 1.0 + 1e-9)

    def test_examples_run(self):
        self.assertEqual(doctest.testmod(partitions).failed, 0)
