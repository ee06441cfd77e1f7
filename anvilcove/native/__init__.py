"""Adapters of the external systems that offer anvilcove's own protocol."""
