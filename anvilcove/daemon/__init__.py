"""The entry daemon: composition, listeners, startup and shutdown."""
