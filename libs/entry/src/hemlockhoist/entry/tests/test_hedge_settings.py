import doctest
import unittest

from hypothesis import given
from hypothesis import strategies as st

from hemlockhoist.base import SettingError
from hemlockhoist.entry import environment
from hemlockhoist.entry.environment import (
    EXCLUDED_VARIABLE,
    MAX_PERMILLE,
    PERMILLE_VARIABLE,
    read_hedge_settings,
)


def load_tests(loader, tests, pattern):
    tests.addTests(doctest.DocTestSuite(environment))
    return tests


class HedgeSettingsTests(unittest.TestCase):
    def test_hedges_are_off_by_default(self):
        found = read_hedge_settings({})
        self.assertEqual(found, {"hedge_permille": 0, "hedge_excluded_routes": ()})

    @given(st.text(max_size=8) | st.integers().map(str))
    def test_only_whole_numbers_in_the_range_are_accepted(self, text):
        """Guards against a typing error that lets servers do much more work."""
        is_number = text.isascii() and text.isdigit() and len(text) <= 4
        if not text or (is_number and int(text) <= MAX_PERMILLE):
            found = read_hedge_settings({PERMILLE_VARIABLE: text})
            self.assertEqual(found["hedge_permille"], int(text or 0))
            return
        with self.assertRaises(SettingError) as caught:
            read_hedge_settings({PERMILLE_VARIABLE: text})
        for named in (PERMILLE_VARIABLE, repr(text), "0 to 200"):
            self.assertIn(named, caught.exception.message)

    @given(st.lists(st.from_regex(r"[a-z][a-z-]{0,9}", fullmatch=True)))
    def test_names_of_routes_are_read(self, names):
        found = read_hedge_settings({EXCLUDED_VARIABLE: " , ".join(names)})
        self.assertEqual(found["hedge_excluded_routes"], tuple(names))

    def test_empty_and_unprintable_names_are_errors(self):
        """Guards against a misplaced comma, after which a route is not excluded."""
        for text in (",", "check,,book", "check,", "che\x00ck"):
            with self.subTest(text), self.assertRaises(SettingError) as caught:
                read_hedge_settings({EXCLUDED_VARIABLE: text})
            for named in (EXCLUDED_VARIABLE, repr(text), "separated by commas"):
                self.assertIn(named, caught.exception.message)
