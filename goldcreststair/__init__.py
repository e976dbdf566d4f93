"""Serve online and batch inference from one shared fleet."""
