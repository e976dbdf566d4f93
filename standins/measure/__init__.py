"""Measurements on stand-ins, in process on virtual time."""
