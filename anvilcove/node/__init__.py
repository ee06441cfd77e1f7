"""Process and components of the daemon that runs on the users' platform."""
