"""Reports that are computed from the logs of all hosts."""
