"""In-memory state of a daemon."""
