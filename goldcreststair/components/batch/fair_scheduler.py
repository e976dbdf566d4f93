"""Which chunk's items go next: fair between customers, least laxity within one."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

ITEM_MS: Final = 20
"""Assumed fleet time an item, for the laxity of a chunk."""


@dataclass(frozen=True, slots=True)
class ChunkFacts:
    """What the order of one chunk depends on."""

    key: str
    customer: str
    due_s: int
    undone: int


class FairScheduler:
    """Weighted fair shares between customers, as items given out over weight."""

    def __init__(self) -> None:
        """Start with nothing given out."""
        self._served: dict[str, float] = {}

    def rank(self, chunks: Iterable[ChunkFacts], now_s: int) -> list[ChunkFacts]:
        """Return chunks, the next one first."""
        known = list(chunks)
        self._forget({chunk.customer for chunk in known})
        return sorted(known, key=lambda chunk: (self._served[chunk.customer], _lax(chunk, now_s)))

    def charge(self, customer: str, items: int, weight: float) -> None:
        """Count items given out."""
        self._served[customer] = self._served.get(customer, 0.0) + items / max(weight, 0.01)

    def _forget(self, present: set[str]) -> None:
        # A customer that comes back after a pause must not claim the time it was away: it starts
        # level with the least served of those present.
        served = {name: value for name, value in self._served.items() if name in present}
        floor = min(served.values(), default=0.0)
        self._served = {name: served.get(name, floor) - floor for name in present}


def _lax(chunk: ChunkFacts, now_s: int) -> tuple[float, str]:
    return (chunk.due_s - now_s - chunk.undone * ITEM_MS / 1000, chunk.key)
