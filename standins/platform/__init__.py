"""Stand-in for the platform's services."""
