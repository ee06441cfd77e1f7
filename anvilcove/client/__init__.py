"""Client library for callers and trainers."""
