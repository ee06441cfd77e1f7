"""Request handlers that report the state of the daemon."""
