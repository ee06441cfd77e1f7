"""Forwarding of callers' requests and streams to endpoints."""
