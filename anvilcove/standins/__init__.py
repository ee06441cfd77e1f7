"""Small stand-ins of the platform with fault switches."""
