"""The tests of ``test_second_relayed_answers`` with the HTTP parser in Python."""

import unittest

from hemlockhoist.base.testing import run_with_python_parser

_MODULE = "hemlockhoist.standins.published.tests.test_second_relayed_answers"
NAMES = (f"{_MODULE}.RelayedSecondAnswerTests",)


class OtherParserTests(unittest.TestCase):
    def test_second_answers_are_found_with_the_parser_in_python(self):
        """Guards against a parser that hands on other bytes than the compiled one."""
        run_with_python_parser(*NAMES)
