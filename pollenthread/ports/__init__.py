"""Abstract base classes of the interfaces to everything outside the core."""
