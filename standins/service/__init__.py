"""Stand-in for a plain service."""
