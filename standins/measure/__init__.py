"""Measurements in process on virtual time."""
