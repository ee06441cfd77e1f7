"""Adapter of the users' platform; no other package has its names."""
