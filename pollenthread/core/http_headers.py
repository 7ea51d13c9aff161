"""Headers of requests and answers.

They stand apart from the messages between processes, which not every process
needs and which take long to import.
"""

__all__ = ['Header']

Header = tuple[str, str]
"""A lower-case name and its value."""
