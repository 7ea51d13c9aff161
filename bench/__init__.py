"""Benchmarks, each of which prints its seed and results as JSON."""
