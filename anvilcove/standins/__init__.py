"""Simulated platform services for tests, with fault switches."""
