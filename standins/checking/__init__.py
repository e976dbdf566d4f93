"""Checks what a test observed from outside against the invariants."""
