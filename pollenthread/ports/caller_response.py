"""The answer to a caller, while it is written."""

import abc
from collections.abc import Sequence

from pollenthread.core import errors, http_headers

__all__ = ['CallerResponse']


class CallerResponse(abc.ABC):
    """Takes one answer for one caller."""

    @property
    @abc.abstractmethod
    def is_started(self) -> bool:
        """Whether the status has left."""

    @abc.abstractmethod
    async def send_failure(self, failure: errors.Failure) -> None:
        """Answers with a failure of the product's own."""

    @abc.abstractmethod
    async def send_response(self, status: int,
                            headers: Sequence[http_headers.Header],
                            body: bytes) -> None:
        """Sends a server's whole answer."""

    @abc.abstractmethod
    async def start_stream(self, status: int,
                           headers: Sequence[http_headers.Header]) -> None:
        """Begins a streamed answer."""

    @abc.abstractmethod
    async def write(self, data: bytes) -> None:
        """Sends a part of a streamed answer."""

    @abc.abstractmethod
    async def finish(self) -> None:
        """Ends a streamed answer as whole."""

    @abc.abstractmethod
    def abort(self) -> None:
        """Closes the connection, so that the answer does not look whole."""
