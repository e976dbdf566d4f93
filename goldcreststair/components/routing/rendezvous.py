"""Rendezvous hashing: a ranking that barely changes when upstreams come and go."""

import hashlib
from collections.abc import Iterable

from goldcreststair.upstreams.models import Upstream


def score(*parts: str) -> int:
    """Return the weight of one combination; higher ranks first."""
    digest = hashlib.blake2b("\0".join(parts).encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


def select_subset(
    upstreams: Iterable[Upstream], session_id: str, data_centre: str, size: int
) -> list[Upstream]:
    """Return the upstreams one VM uses: those of its data centre first, then others by rank."""

    def rank(upstream: Upstream) -> tuple[bool, int]:
        return upstream.data_centre == data_centre, score(session_id, data_centre, upstream.name)

    return sorted(upstreams, key=rank, reverse=True)[:size]
