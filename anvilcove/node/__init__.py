"""Assembly of the daemon that runs on the users' platform."""
