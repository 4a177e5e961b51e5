"""Errors of decoders and bounds of numbers in what other programs have written."""

from typing import Annotated

import msgspec

# What decoding a value of another writer can raise: it is no such value, it is nested too
# deeply, or a number is beyond what can be converted. A value that raises one of these is
# invalid, and nothing else is.
DECODE_ERRORS = (msgspec.MsgspecError, RecursionError, OverflowError, ValueError)
# Largest numbers that are accepted: integers fit messages and the store, and numbers with
# a fraction can be multiplied by units and counts.
MAX_INTEGER = 2**63 - 1
MAX_NUMBER = 1e12
# Any number of so many digits is below the largest integer.
MAX_DIGITS = 18

WireInteger = Annotated[int, msgspec.Meta(ge=-MAX_INTEGER, le=MAX_INTEGER)]
WireNumber = Annotated[float, msgspec.Meta(ge=-MAX_NUMBER, le=MAX_NUMBER)]


def is_count(text):
    """Return whether a text is a non-negative integer that is accepted.

    Examples
    ========
    >>> from hemlockhoist.base import is_count
    >>> is_count("12"), is_count("-1"), is_count("9" * 5_000)
    (True, False, False)
    """
    return text.isascii() and text.isdigit() and len(text) <= MAX_DIGITS
