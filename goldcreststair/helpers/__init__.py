"""What components of both daemons use."""
