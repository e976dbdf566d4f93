"""Whole numbers in text from outside."""

from typing import Final

MAX_DIGITS: Final = 18
"""Longer numbers are read as none: an integer of any length takes time, and raises beyond a limit."""


def parse_unsigned(text: str | bytes) -> int | None:
    """Return a number without a sign, or None if the text is anything else.

    >>> parse_unsigned("12"), parse_unsigned(b"007"), parse_unsigned("-1"), parse_unsigned("²"), parse_unsigned("9" * 19)
    (12, 7, None, None, None)
    """
    if not (text.isascii() and text.isdigit()) or len(text) > MAX_DIGITS:
        return None
    return int(text)
