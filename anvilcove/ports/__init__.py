"""Ports: what the product needs of outside systems."""
