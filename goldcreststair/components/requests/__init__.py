"""Requests of callers, and which of them may run."""
