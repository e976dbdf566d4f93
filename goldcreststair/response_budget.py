"""A bound on the bytes that a process holds of responses that are not whole."""

from __future__ import annotations

import sys
from typing import Final, Protocol

from goldcreststair.helpers.memory import compute_memory_bytes

MEMORY_SHARE: Final = 8
"""Part of the memory that all responses may hold, as a divisor."""


def compute_response_bytes(memory_mb: int) -> int:
    """Return how many bytes of responses a process of `memory_mb`, MB, may hold; 0 for the machine's memory.

    >>> compute_response_bytes(320)
    41943040
    """
    return compute_memory_bytes(memory_mb) // MEMORY_SHARE


class HeldResponse(Protocol):
    """A response that arrives, as far as it can be ended."""

    def end_response(self, reason: str) -> None:
        """End the response as broken."""


class ResponseBudget:
    """Ends the largest response while all responses together hold too much."""

    def __init__(self, max_bytes: int = sys.maxsize) -> None:
        """Let all responses together hold `max_bytes`."""
        self._max_bytes = max_bytes
        self._held: dict[HeldResponse, int] = {}
        self._total = 0

    def record(self, response: HeldResponse, count: int) -> None:
        """Record that a response holds `count` bytes now, which may end it or another one."""
        self._total += count - self._held.get(response, 0)
        self._held[response] = count
        if self._total > self._max_bytes:
            largest = max(self._held, key=lambda each: self._held[each])
            self.release(largest)
            largest.end_response("responses too long")

    def release(self, response: HeldResponse) -> None:
        """Forget a response that holds nothing any more."""
        self._total -= self._held.pop(response, 0)
