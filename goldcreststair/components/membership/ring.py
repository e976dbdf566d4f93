"""Chooses watched sessions and gossip partners, the same on every VM for the same session ids."""

import hashlib
from collections.abc import Collection
from functools import lru_cache

from goldcreststair.components.membership.const import PARTNERS, RING_PARTNERS, WATCHED_ROWS


@lru_cache(maxsize=4096)
def hash_text(text: str) -> int:
    """Return a signed 64-bit hash that is the same in every process."""
    digest = hashlib.blake2b(text.encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big", signed=True)


def find_successors(own: str, sessions: Collection[str], count: int) -> tuple[str, ...]:
    """Return the next `count` sessions after `own` on the hash ring.

    >>> len(find_successors("a", ["a", "b", "c"], 3))
    2
    """
    place = (hash_text(own), own)
    others = sorted((hash_text(name), name) for name in sessions if name != own)
    after = [name for at, name in others if (at, name) > place]
    before = [name for at, name in others if (at, name) < place]
    return tuple((after + before)[:count])


def choose_watched(own: str, sessions: Collection[str]) -> tuple[str, ...]:
    """Return the sessions whose rows `own` watches."""
    return find_successors(own, sessions, WATCHED_ROWS)


def choose_partners(own: str, sessions: Collection[str]) -> tuple[str, ...]:
    """Return the sessions that `own` gossips to.

    The ring successors keep the gossip graph connected; the others, chosen by hash, keep its
    diameter small.
    """
    ring = find_successors(own, sessions, RING_PARTNERS)
    rest = [name for name in sessions if name != own and name not in ring]
    rest.sort(key=lambda name: (hash_text(f"{own}>{name}"), name))
    return ring + tuple(rest[: PARTNERS - len(ring)])
