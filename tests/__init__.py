"""Tests and stand-ins for external systems."""
