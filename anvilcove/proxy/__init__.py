"""The way of one request from a caller to an endpoint and back."""
