"""Runs a fleet on loopback: stand-ins and daemons as separate processes."""
