"""Model checking of the distributed protocols of pollenthread."""
