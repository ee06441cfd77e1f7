"""Batch jobs: records, ownership, items, reward calls and reads."""
