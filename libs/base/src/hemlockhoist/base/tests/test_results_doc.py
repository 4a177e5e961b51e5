import pathlib
import unittest

from hemlockhoist.base.results_doc import results_page

PAGE = pathlib.Path(__file__).parents[6] / "docs" / "RESULT_CODES.md"


class PageTests(unittest.TestCase):
    def test_page_matches_the_table(self):
        """The committed page is identical to the generated one."""
        self.assertEqual(PAGE.read_text(), results_page())
