"""Parsing of integers in untrusted text."""

from typing import Final

MAX_DIGITS: Final = 18
"""Longer numbers are rejected: converting an unbounded one takes time, and raises beyond a limit."""


def parse_unsigned(text: str | bytes) -> int | None:
    """Return the integer that a text of ASCII digits denotes; None for any other or a longer text.

    >>> parse_unsigned("12"), parse_unsigned(b"007"), parse_unsigned("-1"), parse_unsigned("²"), parse_unsigned("9" * 19)
    (12, 7, None, None, None)
    """
    if not (text.isascii() and text.isdigit()) or len(text) > MAX_DIGITS:
        return None
    return int(text)
