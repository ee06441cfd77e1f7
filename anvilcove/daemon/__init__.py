"""The entry daemon: wiring, listeners, start and shutdown."""
