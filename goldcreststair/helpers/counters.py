"""Counters that their senders list only while they change."""

from typing import Final

MAX_NEW_COUNT: Final = 3
"""Most requests of a customer that a daemon usually admits between two reports."""


def estimate_earlier_count(count: int, *, complete: bool) -> int:
    """Return what a counter was before its sender listed it for the first time.

    `complete` says whether the sender would have listed it if it had not been zero.

    >>> [estimate_earlier_count(each, complete=False) for each in (2, 50)]
    [0, 47]
    >>> estimate_earlier_count(50, complete=True)
    0
    """
    return 0 if complete else max(0, count - MAX_NEW_COUNT)
