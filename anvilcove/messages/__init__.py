"""Typed messages between processes, one module per conversation."""
