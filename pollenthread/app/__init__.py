"""Application services of the processes, built on the ports."""
