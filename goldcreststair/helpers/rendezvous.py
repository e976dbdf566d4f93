"""Rendezvous hashing: a ranking that barely changes when its members come and go."""

import hashlib


def score(*parts: str) -> int:
    """Return the weight of one combination; higher ranks first."""
    digest = hashlib.blake2b("\0".join(parts).encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")
