"""The type of HTTP headers.

Separate from the messages between processes, which take long to import and
which not every process needs.
"""

__all__ = ['Header']

Header = tuple[str, str]
"""The lower-case name and the value of a header."""
