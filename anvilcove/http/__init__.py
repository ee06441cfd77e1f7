"""Rules that hold for the answers to all calls over HTTP."""
