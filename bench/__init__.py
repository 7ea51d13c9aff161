"""Measurements; each prints JSON with its seed."""
