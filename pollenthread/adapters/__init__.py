"""Implementations of the ports, and the external interfaces of the system."""
