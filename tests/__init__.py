"""Tests, and the stand-ins for what lies outside the system."""
