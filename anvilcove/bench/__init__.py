"""Benchmarks of the daemons and of the policies."""
