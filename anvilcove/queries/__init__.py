"""Request handlers that only read the state of the daemon."""
