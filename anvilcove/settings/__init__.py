"""Typed settings and class declarations."""
