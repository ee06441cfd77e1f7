"""State that a daemon keeps in memory."""
