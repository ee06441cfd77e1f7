"""Metrics and logs of a daemon on the users' platform."""
