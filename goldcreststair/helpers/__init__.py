"""Helpers shared by the components of both daemons."""
