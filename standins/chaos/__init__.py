"""Runs real processes with traffic under a seeded schedule of faults."""
