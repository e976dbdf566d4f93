"""Hashing of API keys, which are stored as hashes only."""

import hashlib


def hash_key(key: str) -> str:
    """Return the SHA-256 of a key in hex, the only form in which keys are stored."""
    return hashlib.sha256(key.encode()).hexdigest()
