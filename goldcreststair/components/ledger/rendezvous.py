"""Chooses the desired owner of each partition by rendezvous hashing."""

import struct
from collections.abc import Iterable
from hashlib import blake2b, shake_128
from typing import Final

SCORE_BYTES: Final = 8


def find_index(key: str, partitions: int) -> int:
    """Return the index of a key's partition; the same on every VM and after every restart."""
    digest = blake2b(key.encode(), digest_size=SCORE_BYTES).digest()
    return int.from_bytes(digest, "big") % partitions


class DesiredOwners:
    """The session with the highest score for each partition.

    A join costs one hash and one pass over the partitions. A leave only recomputes the partitions
    whose desired owner has left, so that the cost of a change does not depend on the number of
    members.

    >>> desired = DesiredOwners(8)
    >>> desired.update({"a", "b"})
    >>> before = [desired.find(index) for index in range(8)]
    >>> desired.update({"a", "b", "c"})
    >>> all(desired.find(index) in (before[index], "c") for index in range(8))
    True
    """

    def __init__(self, partitions: int) -> None:
        """Create the mapping without sessions."""
        self._partitions = partitions
        self._scores: dict[str, tuple[int, ...]] = {}
        self._winners: list[str] = [""] * partitions

    def find(self, index: int) -> str:
        """Return the session of the desired owner; empty if there are no sessions."""
        return self._winners[index]

    def list_winners(self) -> tuple[str, ...]:
        """Return the desired owner of each partition, by index."""
        return tuple(self._winners)

    def update(self, sessions: Iterable[str]) -> None:
        """Replace the set of sessions."""
        current = set(sessions)
        gone = self._scores.keys() - current
        for session in gone:
            del self._scores[session]
        for index, winner in enumerate(self._winners):
            if winner in gone:
                self._winners[index] = self._choose(index)
        for session in sorted(current - self._scores.keys()):
            self._add(session)

    def _add(self, session: str) -> None:
        digest = shake_128(session.encode()).digest(SCORE_BYTES * self._partitions)
        scores = struct.unpack(f">{self._partitions}Q", digest)
        self._scores[session] = scores
        for index, score in enumerate(scores):
            winner = self._winners[index]
            if not winner or score > self._scores[winner][index]:
                self._winners[index] = session

    def _choose(self, index: int) -> str:
        return max(self._scores, key=lambda session: self._scores[session][index], default="")
