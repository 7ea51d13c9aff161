"""What an agent asks of the model engine or plain service beside it."""

import abc
import contextlib
import dataclasses
from collections.abc import AsyncIterator

from pollenthread.core import http_headers

__all__ = [
    'LocalUpstreamResponse', 'LocalUpstream', 'LocalUpstreamRequest',
    'LocalUpstreamConnectError'
]


class LocalUpstreamConnectError(Exception):
    """The upstream could not be reached, so nothing was sent to it."""


@dataclasses.dataclass(frozen=True, slots=True)
class LocalUpstreamRequest:
    """One call."""

    method: str
    path: str
    headers: tuple[http_headers.Header, ...]
    body: bytes


class LocalUpstreamResponse(abc.ABC):
    """A call in progress."""

    @property
    @abc.abstractmethod
    def status(self) -> int:
        """The HTTP status of the answer."""

    @property
    @abc.abstractmethod
    def headers(self) -> tuple[http_headers.Header, ...]:
        """The headers of the answer."""

    @property
    @abc.abstractmethod
    def is_delimited(self) -> bool:
        """Whether a body that breaks off can be told from a whole one."""

    @property
    def is_event_stream(self) -> bool:
        """Whether the body is a stream of server-sent events."""
        return any(
            name == 'content-type' and value.startswith('text/event-stream')
            for name, value in self.headers)

    @abc.abstractmethod
    def read(self) -> AsyncIterator[bytes]:
        """Yields the body as it comes.

        Raises:
            ConnectionError: the answer broke off.
        """


class LocalUpstream(abc.ABC):
    """The engine or service."""

    @abc.abstractmethod
    def call(
        self, request: LocalUpstreamRequest
    ) -> contextlib.AbstractAsyncContextManager[LocalUpstreamResponse]:
        """Sends a request; leaving the context early cancels it.

        Raises:
            UpstreamUnavailable: nothing was sent.
            ConnectionError: the connection broke after something was sent.
        """
