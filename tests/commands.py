"""Result of a command line."""

import dataclasses

__all__ = ['CommandResult']


@dataclasses.dataclass(frozen=True)
class CommandResult:
    """The result of a command.

    Attributes:
        status: the exit status.
        output: the text on standard output.
        error_output: the text on standard error.
    """

    status: int
    output: str
    error_output: str
