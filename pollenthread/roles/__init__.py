"""Processes: each module assembles the services and adapters of one role."""
