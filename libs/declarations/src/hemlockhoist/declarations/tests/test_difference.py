import unittest

from hypothesis import given

from hemlockhoist.declarations import canonical, diff, diff_text, parse_declarations
from hemlockhoist.declarations.tests.samples import EXAMPLE, any_declarations, example


def edited(*replacements):
    text = EXAMPLE.read_text()
    for old, new in replacements:
        assert old in text, old
        text = text.replace(old, new, 1)
    return parse_declarations(text.encode())


class DifferenceTests(unittest.TestCase):
    def test_differences_are_shown_as_lines(self):
        """Each changed default, record and exception gives one line, with reasons."""
        new = edited(
            ("max_in_flight: 64", "max_in_flight: 48"),
            ("stable_version: v1", "stable_version: v2"),
            ("value: 192", "value: 96"),
            ("name: student-union", "name: student-guild"),
        )
        self.assertEqual(
            diff_text(diff(example(), new)).splitlines(),
            [
                "~ default customer max_in_flight: 64 -> 48",
                "+ customer student-guild",
                "- customer student-union",
                "~ pool assistant stable_version: v1 -> v2",
                "~ exception customer northern-university max_in_flight: 192 -> 96 "
                "(reason: It sends half of all requests in the week before a term "
                "starts.)",
            ],
        )

    def test_equal_declarations_have_no_difference(self):
        """Equal declarations give the text "no difference"."""
        self.assertEqual(diff_text(diff(example(), example())), "no difference")

    @given(any_declarations(), any_declarations())
    def test_no_difference_means_equal(self, old, new):
        """Two declarations differ if and only if the list of changes is not empty."""
        self.assertEqual(bool(diff(old, new)), canonical(old) != canonical(new))
