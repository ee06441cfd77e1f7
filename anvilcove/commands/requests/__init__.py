"""Serve requests: admission, attempts, streams and isolation."""
