"""Adapter of the users' platform: the only place that knows its names."""
