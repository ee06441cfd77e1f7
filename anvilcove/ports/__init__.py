"""Ports: interfaces to the systems outside the process."""
