"""Checks what a test saw from outside against the invariants."""
