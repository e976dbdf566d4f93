"""Soak test: gateway daemons as processes under seeded connection faults and signals."""
