"""Measurements on stand-ins; each prints its figures."""
