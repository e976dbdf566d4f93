"""Whole numbers in text from outside."""

from typing import Final

MAX_DIGITS: Final = 18
"""Longer numbers are read as none: an integer of any length takes time, and raises beyond a limit."""


def read_whole(text: str | bytes) -> int | None:
    """Return a number without a sign, or None if the text is anything else.

    >>> read_whole("12"), read_whole(b"007"), read_whole("-1"), read_whole("²"), read_whole("9" * 19)
    (12, 7, None, None, None)
    """
    if not (text.isascii() and text.isdigit()) or len(text) > MAX_DIGITS:
        return None
    return int(text)
