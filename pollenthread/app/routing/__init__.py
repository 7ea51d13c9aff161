"""Applies the decisions of `core.routing` to what an entry host has learned."""
