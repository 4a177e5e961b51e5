import doctest
import unittest

from hemlockhoist.decisions.entry import chained_hashes, prefixes


class ChainedHashesTests(unittest.TestCase):
    def test_docstring_examples_run(self):
        self.assertEqual(doctest.testmod(prefixes).failed, 0)

    def test_same_on_all_hosts(self):
        """Hosts of neighbouring releases place a prompt by the same names."""
        self.assertEqual(chained_hashes(["5c1e07a2"]), (15100700061308107535,))

    def test_part_behind_other_parts_is_another_part(self):
        self.assertNotEqual(
            chained_hashes(["a", "c"])[1], chained_hashes(["b", "c"])[1]
        )
