"""Parts of the coordination of a group's expert maps."""
