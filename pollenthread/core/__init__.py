"""Decision logic and data types, without I/O, clocks or random sources."""
