"""Demonstration of one site under faults."""
