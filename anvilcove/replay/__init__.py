"""Recorder and replay of decision traces."""
