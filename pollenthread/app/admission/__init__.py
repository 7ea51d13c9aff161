"""Holds requests back at an entry host until there is room for them."""
