import doctest
import unittest

from hemlockhoist.decisions import incarnations


class IncarnationsTests(unittest.TestCase):
    def test_examples(self):
        self.assertEqual(doctest.testmod(incarnations).failed, 0)
