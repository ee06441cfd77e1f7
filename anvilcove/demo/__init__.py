"""Run a site under load with injected faults and check its guarantees."""
