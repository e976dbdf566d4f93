"""The operators' and batch callers' command line: `goldcreststair`."""
