"""Randomized fault-injection tests of real daemons on loopback."""
