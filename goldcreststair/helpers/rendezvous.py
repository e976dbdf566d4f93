"""Rendezvous hashing: a ranking that changes only slightly when members join or leave."""

import hashlib


def score(*parts: str) -> int:
    """Return the score of one combination of parts; the highest score ranks first."""
    digest = hashlib.blake2b("\0".join(parts).encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")
