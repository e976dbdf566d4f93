"""Protocols of engines and plain services, and their HTTP adapters."""
