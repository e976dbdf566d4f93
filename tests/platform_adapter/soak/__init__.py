"""Gateway daemons as processes under seeded faults of connections and signals."""
