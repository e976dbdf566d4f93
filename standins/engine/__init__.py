"""A stand-in for an inference engine."""
