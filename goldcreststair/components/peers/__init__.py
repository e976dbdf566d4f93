"""Links to the other daemons."""
