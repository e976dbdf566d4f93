"""Real processes under a seeded schedule of faults, with traffic running."""
