"""Admission of callers' requests."""
