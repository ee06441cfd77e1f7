"""Control plane: membership, gossip, configuration, leases, weights."""
