"""Metrics and log output of the node daemon (anvilcove.node)."""
