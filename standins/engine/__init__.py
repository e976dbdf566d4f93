"""Stand-in for an inference engine."""
