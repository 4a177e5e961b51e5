import doctest
import unittest

from hypothesis import given
from hypothesis import strategies as st

from hemlockhoist.decisions.limits import partition_share, partitions


class PartitionShareTests(unittest.TestCase):
    @given(st.lists(st.integers(1, 12), min_size=1, max_size=8))
    def test_partitions_together_grant_no_more_than_the_whole(self, sizes):
        """Guards against granting a quota once in each partition."""
        known = sum(sizes)
        total = sum(partition_share(size, known, is_home=True) for size in sizes)
        self.assertLessEqual(total, 1.0 + 1e-9)

    @given(st.integers(1, 40), st.integers(0, 40))
    def test_isolated_hosts_and_the_home_stay_within_the_whole(self, reachable, cut):
        known = reachable + cut
        total = partition_share(reachable, known, is_home=True)
        total += cut * partition_share(1, known, is_home=False)
        self.assertLessEqual(total, 1.0 + 1e-9)

    def test_examples_run(self):
        self.assertEqual(doctest.testmod(partitions).failed, 0)
