import doctest
import unittest

from hypothesis import given
from hypothesis import strategies as st

from hemlockhoist.base import BadRequest, ResultCode
from hemlockhoist.decisions.ledger import IdempotencyKey, keys, parse_key


class KeyTests(unittest.TestCase):
    @given(
        st.from_regex(r"[A-Za-z0-9_-]{1,64}", fullmatch=True),
        st.integers(0, 10**12 - 1),
        st.from_regex(r"[!-~]{1,128}", fullmatch=True),
    )
    def test_formatted_keys_parse_to_equal_keys(self, incarnation, epoch, caller_part):
        """The text of a key parses to an equal key."""
        key = IdempotencyKey(incarnation, epoch, caller_part)
        self.assertEqual(parse_key(key.text), key)

    @given(st.text(max_size=40))
    def test_any_text_parses_or_is_malformed(self, text):
        """Any header value parses to a key or raises ``KEY_MALFORMED``."""
        try:
            self.assertEqual(parse_key(text).text, text)
        except BadRequest as error:
            self.assertIs(error.code, ResultCode.KEY_MALFORMED)

    def test_malformed_keys_are_refused(self):
        """Keys without a valid prefix, epoch or caller's part are refused."""
        for text in (
            "",
            "a",
            "a.1",
            "a.1.",
            "a.x.b",
            "a.01.b",
            "a..b",
            ".1.b",
            "a.1. ",
        ):
            with self.subTest(text), self.assertRaises(BadRequest):
                parse_key(text)

    def test_docstring_examples_run(self):
        """The examples in the docstrings give the results shown."""
        self.assertEqual(doctest.testmod(keys).failed, 0)
