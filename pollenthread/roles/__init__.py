"""The processes: wiring of services and adapters."""
