"""Fenced partitions: everything that is kept or agreed."""
