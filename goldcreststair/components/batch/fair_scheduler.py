"""Order of chunks: fair between customers, least laxity first within one customer."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

ITEM_MS: Final = 20
"""Assumed time in ms that the fleet takes per item, for the laxity of a chunk."""


@dataclass(frozen=True, slots=True)
class ChunkFacts:
    """Facts about a chunk that determine its rank."""

    key: str
    customer: str
    due_s: int
    undone: int


class FairScheduler:
    """Weighted fair sharing between customers, by assigned items divided by weight."""

    def __init__(self) -> None:
        """Create without assigned items."""
        self._served: dict[str, float] = {}

    def rank(self, chunks: Iterable[ChunkFacts], now_s: int) -> list[ChunkFacts]:
        """Return chunks, the next one first."""
        known = list(chunks)
        self._forget({chunk.customer for chunk in known})
        return sorted(
            known, key=lambda chunk: (self._served[chunk.customer], _rank_by_laxity(chunk, now_s))
        )

    def charge(self, customer: str, items: int, weight: float) -> None:
        """Count items assigned to a customer's jobs."""
        self._served[customer] = self._served.get(customer, 0.0) + items / max(weight, 0.01)

    def _forget(self, present: set[str]) -> None:
        # A customer that returns after a pause must not make up for its absence: it starts at the
        # level of the least served customer present.
        served = {name: value for name, value in self._served.items() if name in present}
        floor = min(served.values(), default=0.0)
        self._served = {name: served.get(name, floor) - floor for name in present}


def _rank_by_laxity(chunk: ChunkFacts, now_s: int) -> tuple[float, str]:
    return (chunk.due_s - now_s - chunk.undone * ITEM_MS / 1000, chunk.key)
