"""The command line `goldcreststair` for operators and batch callers."""
