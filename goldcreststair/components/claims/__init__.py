"""Idempotency claims: at most one run a key."""
