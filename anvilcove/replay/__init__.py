"""Record the calls of policies to a trace and replay them."""
