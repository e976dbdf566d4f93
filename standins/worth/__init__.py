"""Analyses how the worth of a replayed day was lost, from the daemons' logs and the day's report."""
