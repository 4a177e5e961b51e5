import doctest
import unittest

from hemlockhoist.decisions.entry import chained_hashes, prefixes


class ChainedHashesTests(unittest.TestCase):
    def test_examples_run(self):
        self.assertEqual(doctest.testmod(prefixes).failed, 0)

    def test_hashes_are_the_same_on_all_hosts(self):
        """Guards against a changed hash between hosts of adjacent releases."""
        self.assertEqual(chained_hashes(["5c1e07a2"]), (15100700061308107535,))

    def test_block_behind_other_blocks_has_another_hash(self):
        self.assertNotEqual(
            chained_hashes(["a", "c"])[1], chained_hashes(["b", "c"])[1]
        )
