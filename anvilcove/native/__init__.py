"""Adapters of the outside systems behind the own interface."""
