"""Pure decisions: no input or output, no clock, no randomness."""
