"""The operators' and callers' command line."""
