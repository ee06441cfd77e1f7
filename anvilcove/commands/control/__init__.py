"""Keep hosts, declarations, leases and weights in order."""
