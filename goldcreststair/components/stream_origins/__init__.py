"""Which software began each stream, so that only upstreams of the same version continue it."""
