"""Bounds on what a process holds for all of its clients together."""
