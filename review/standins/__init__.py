"""Stand-ins for the store, the engines and the clients of the users' pages; standard library only."""
