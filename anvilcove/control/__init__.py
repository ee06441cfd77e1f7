"""Control state of one daemon: desired state, endpoints, peers, leases."""
