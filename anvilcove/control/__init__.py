"""Control plane of a daemon: desired state, endpoints, peers and leases."""
