"""The answer to a caller, while it is written."""

import abc
from collections.abc import Sequence

from pollenthread.core import errors, http_headers

__all__ = ['Reply']


class Reply(abc.ABC):
    """Takes one answer for one caller."""

    @property
    @abc.abstractmethod
    def has_begun(self) -> bool:
        """Whether the status has left."""

    @abc.abstractmethod
    async def refuse(self, failure: errors.Failure) -> None:
        """Answers with a failure of the product's own."""

    @abc.abstractmethod
    async def send_whole(self, status: int,
                         headers: Sequence[http_headers.Header],
                         body: bytes) -> None:
        """Sends a server's whole answer."""

    @abc.abstractmethod
    async def begin(self, status: int,
                    headers: Sequence[http_headers.Header]) -> None:
        """Begins a streamed answer."""

    @abc.abstractmethod
    async def write(self, data: bytes) -> None:
        """Sends a part of a streamed answer."""

    @abc.abstractmethod
    async def finish(self) -> None:
        """Ends a streamed answer as whole."""

    @abc.abstractmethod
    def break_off(self) -> None:
        """Closes the connection, so that the answer does not look whole."""
