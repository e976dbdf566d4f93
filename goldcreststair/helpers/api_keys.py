"""API keys, which are kept as hashes only."""

import hashlib


def hash_key(key: str) -> str:
    """Return the only form in which a key is kept: its SHA-256 in hex."""
    return hashlib.sha256(key.encode()).hexdigest()
