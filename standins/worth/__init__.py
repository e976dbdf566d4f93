"""Says where worth goes on a played day: from the daemons' logs, and from the day's report."""
