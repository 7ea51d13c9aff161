"""Decides what the clients of a process may hold."""
