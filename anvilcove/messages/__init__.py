"""Typed messages between processes, one module per pair of parties."""
