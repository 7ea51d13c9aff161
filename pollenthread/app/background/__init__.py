"""Runs the background tasks of a process."""
