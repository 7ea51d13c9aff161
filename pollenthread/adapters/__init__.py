"""Implementations of the ports, and the borders of the system."""
