"""Application services: what the processes do, over the ports."""
