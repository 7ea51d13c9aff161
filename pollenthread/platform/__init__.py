"""Adapter to the users' platform: its names, data formats and HTTP calls.

Each module only translates: it decodes platform data into the types of the
core, or encodes those types for the platform. It holds no load balancing logic.
"""
