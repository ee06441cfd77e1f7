"""Ports to outside systems and their adapters."""
